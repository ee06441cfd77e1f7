"""Bodies of large submissions, by what they consist of."""

from collections.abc import Callable

from msgspec import json

from anvilcove.platform.standin_wire import ItemSpec, reward_id, submission

GROUP_SIZE = 8
PROMPT_BYTES = 1_200
# Returns a body of at most a size, for a host, a model and the id of a job.
MakeBody = Callable[[str, str, str, int], bytes]
SHAPES: dict[str, MakeBody] = {}


def shape(name: str) -> Callable[[MakeBody], MakeBody]:
    """Register what a submission consists of."""

    def register(function: MakeBody) -> MakeBody:
        SHAPES[name] = function
        return function

    return register


def step_items(job_id: str, count: int, body_bytes: int) -> list[ItemSpec]:
    """Return items in groups, with bodies of a size."""
    return [
        ItemSpec(
            item_id=f'{job_id}-{n}',
            path=f'/job/{job_id}-{n}',
            group=f'g{n // GROUP_SIZE}',
            reward_path=f'/reward/{job_id}-{n}',
            body=f'{job_id}-{n}'.encode().ljust(body_bytes, b'x'),
        )
        for n in range(count)
    ]


def _filled(
    host: str, model: str, job_id: str, size: int, body_bytes: int
) -> bytes:
    def body(count: int) -> bytes:
        items = step_items(job_id, count, body_bytes)
        return submission(host, model, 1, count // GROUP_SIZE, items)

    # The last ids of many are the longest.
    per_item = (len(body(40)) - len(body(20))) / 20 + 24
    return body(int(size / per_item))


@shape('items with prompts')
def _with_prompts(host: str, model: str, job_id: str, size: int) -> bytes:
    return _filled(host, model, job_id, size, PROMPT_BYTES)


@shape('small items')
def _small(host: str, model: str, job_id: str, size: int) -> bytes:
    return _filled(host, model, job_id, size, 0)


@shape('one item')
def _single(host: str, model: str, job_id: str, size: int) -> bytes:
    items = step_items(job_id, 1, (size - 1_000) * 3 // 4)
    return submission(host, model, 1, 1, items)


@shape('the shortest items')
def _shortest(host: str, model: str, job_id: str, size: int) -> bytes:
    items = b','.join(b'{"id":"%d","path":"/"}' % n for n in range(size // 30))
    return b'{"requests":[%s]}' % items


@shape('one item with many headers')
def _many_headers(host: str, model: str, job_id: str, size: int) -> bytes:
    headers = ','.join(f'"{n:x}":""' for n in range(size // 12))
    item = f'{{"id":"{job_id}","path":"/","headers":{{{headers}}}}}'
    return f'{{"requests":[{item}]}}'.encode()


@shape('items with many headers')
def _headers_each(host: str, model: str, job_id: str, size: int) -> bytes:
    headers = ','.join(f'"{n:x}":""' for n in range(1_500))
    item = f'{{"id":"%d","path":"/job/%d","headers":{{{headers}}}}}'
    count = size // (len(item) + 10)
    items = ','.join(item % (n, n) for n in range(count))
    return f'{{"requests":[{items}]}}'.encode()


@shape('an object of empty fields')
def _empty_fields(host: str, model: str, job_id: str, size: int) -> bytes:
    fields = ','.join(f'"{n:x}":""' for n in range(size // 12))
    return f'{{"requests":[],"other":{{{fields}}}}}'.encode()


@shape('numbers in place of items')
def _numbers(host: str, model: str, job_id: str, size: int) -> bytes:
    return b'{"requests":[%s1]}' % (b'1,' * (size // 2 - 20))


@shape('nested arrays')
def _nested(host: str, model: str, job_id: str, size: int) -> bytes:
    half = size // 2 - 20
    return b'{"requests":%s%s}' % (b'[' * half, b']' * half)


@shape('a long path')
def _long_path(host: str, model: str, job_id: str, size: int) -> bytes:
    item = {'id': job_id, 'path': '/' + 'x' * (size - 200)}
    return json.encode({'requests': [item]})


@shape('a reward call with a long body')
def _long_reward(host: str, model: str, job_id: str, size: int) -> bytes:
    item = {
        'id': job_id,
        'path': f'/job/{job_id}',
        'scorer-url': {
            'id': reward_id(job_id),
            'host': host,
            'path': f'/reward/{job_id}',
            'body': 'eHh4' * (size // 4 - 100),
        },
    }
    return json.encode({'requests': [item]})
