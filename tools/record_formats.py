"""Record what 53f4f11 writes and how it reads what this build writes.

Run three times, the first and the last with PYTHONPATH at 53f4f11:
`record_formats.py old FILE`, `record_formats.py new FILE`, `... read FILE`.
"""

import json
import sys
from pathlib import Path
from typing import Any

from msgspec import MsgspecError, to_builtins

sys.path.insert(0, str(Path(__file__).parents[1] / 'features' / 'steps'))


def record(part: str, known: dict[str, Any]) -> None:
    """Add a part, `old`, `new` or `read`, to what is known by sample."""
    from format_samples import encoded

    for name, (value_type, codec, data) in encoded(part == 'new').items():
        sample = known.setdefault(name, {})
        if part != 'read':
            sample[part] = data.hex()
            continue
        try:
            value = codec.decode(bytes.fromhex(sample['new']), type=value_type)
            sample['read'] = to_builtins(value)
        except MsgspecError as error:
            sample['rejected'] = str(error)


if __name__ == '__main__':
    path = Path(sys.argv[2])
    found = json.loads(path.read_text()) if path.exists() else {}
    record(sys.argv[1], found)
    path.write_text(json.dumps(found, indent=1, sort_keys=True) + '\n')
