"""Read the journals that the stand-ins wrote during a run."""

from anvilcove.demo.records import RunRecord
from anvilcove.demo.site import Site


def read_journals(site: Site, record: RunRecord) -> None:
    """Add the journal lines of every endpoint to the record."""
    for member in site.members.endpoints:
        for line in site.read_journal(member.endpoint):
            line['endpoint'] = member.endpoint
            if line['event'] == 'started' and member.kind == 'service':
                record.runs.append(line)
            elif line['event'] == 'started':
                record.generations.append(line)
            elif line['event'] == 'version':
                record.versions.append(line)
            elif line['event'] == 'crashed':
                record.crashes.append(line)
