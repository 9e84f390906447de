"""Compute the tables of docs/CAPACITY.md from measured costs per unit of work.

Run: python -m tools.work_out_capacity. The constants below were printed by
python -m tools.measure_slopes. Replace them after a new measurement. An item is a
message between hosts in its parcel.
"""

from dataclasses import dataclass, replace

# Processor time in seconds.
ITEM_CPU = 13.66e-6  # one item in one direction, both ends, in bundles of 64
SINGLE_ITEM_CPU = 227e-6  # the same for an item that is alone in its bundle
REPLY_DECODE_CPU = 14.72e-6  # of a sub-reply with ten hits
REPLY_ENCODE_CPU = 9.64e-6  # of the same
UPSTREAM_CALL_CPU = 545e-6  # including the server side of the simulated upstream
PLANNING_CPU = 2.25e-6  # for each upstream of a search
# Sizes in bytes on the network.
HEARTBEAT_BYTES = 134  # the bundle of a heartbeat
FRAMING_BYTES = 60  # HTTP/2, TCP and IP headers of a small message
ITEM_BYTES = 236  # a sub-request in a bundle of 64
REPLY_BYTES = 801  # a sub-reply with ten hits, in a bundle of 64
SEAT_BYTES = 40  # one seat in the seat assignment record of a zone
# Memory.
RECORD_MEMORY_BYTES = 625  # an upstream record with its stored object
STREAM_MEMORY_KB = 87 / 2  # one end of a stream
RESIDENT_MB = 71.5  # a process with its libraries


@dataclass(frozen=True, kw_only=True)
class Fleet:
    """The size of one deployment.

    Attributes:
        name: the title of its tables.
        hosts: the number of hosts.
        zones: the number of availability zones.
        upstreams: the number of upstreams.
        slots: the requests that an upstream runs at once.
        queries_per_second: the searches of all callers.
        fan_out: the upstreams that one search is sent to.
        changes_per_day: the changes of records.
        replaced_hosts_per_day: the hosts that are replaced.
        bookings_per_second: the bookings of all callers.
    """

    name: str
    hosts: int
    zones: int
    upstreams: int
    slots: int
    queries_per_second: float
    fan_out: int
    changes_per_day: float
    replaced_hosts_per_day: float
    bookings_per_second: float


TODAY = Fleet(
    name='Halvorsen today',
    hosts=5,
    zones=3,
    upstreams=85,
    slots=4,
    queries_per_second=100,
    fan_out=75,
    changes_per_day=20,
    replaced_hosts_per_day=2,
    bookings_per_second=5,
)
FULL_SIZE = Fleet(
    name='full size, 10 zones',
    hosts=680,
    zones=10,
    upstreams=5300,
    slots=4,
    queries_per_second=88_000,
    fan_out=390,
    changes_per_day=400,
    replaced_hosts_per_day=320,
    bookings_per_second=880,
)
FLEETS = (
    TODAY,
    replace(TODAY, name='Werkbankcollectief today', zones=4, upstreams=93),
    FULL_SIZE,
    replace(FULL_SIZE, name='full size, 5 zones', zones=5),
)


def print_row(name: str, amount: float, unit: str, limit: float | None = None) -> None:
    """Print one row; with a limit, also by which factor the amount exceeds it."""
    comparison = ''
    if limit is not None:
        ratio = amount / limit
        comparison = f'limit {limit:g}: ' + (
            'within' if ratio <= 1 else f'missed by a factor of {ratio:.1f}'
        )
    print(f'| {name} | {amount:,.2f} {unit} | {comparison} |')


def work_out(fleet: Fleet) -> None:
    """Print the tables of one deployment."""
    per_zone = fleet.hosts / fleet.zones
    peers = per_zone - 1 + fleet.zones - 1
    # Seconds between heartbeats, as in decisions/_membership.py.
    interval = max(0.5, (per_zone - 1) / 34)
    # Heartbeats and replies of a host. Of two hosts one sends and the other replies.
    heartbeats = peers / interval
    print(f'\n### {fleet.name}\n\n| role: figure | a host | limit |\n|---|---|---|')
    entry_queries = fleet.queries_per_second / fleet.hosts
    parts = entry_queries * fleet.fan_out
    owned = 2 * fleet.upstreams / fleet.hosts
    print_row('entry: queries', entry_queries, '/s')
    print_row('entry: sub-requests', parts, '/s')
    print_row('entry: planning', entry_queries * fleet.fan_out * PLANNING_CPU, 'cores')
    print_row(
        'entry: items sent and replies read',
        parts * (ITEM_CPU + REPLY_DECODE_CPU),
        'cores',
    )
    print_row('entry: bytes', parts * (ITEM_BYTES + REPLY_BYTES) / 1e6, 'MB/s')
    seats = fleet.upstreams * fleet.slots
    print_row(
        'owner: sub-requests for each slot of an upstream',
        fleet.queries_per_second * fleet.fan_out / seats,
        '/s',
    )
    print_row('owner: upstreams shared with one other host', owned, '')
    batch = 8
    print_row(
        'owner: upstream calls in batches of 8',
        parts / batch * UPSTREAM_CALL_CPU,
        'cores',
    )
    print_row('owner: replies sent', parts * REPLY_ENCODE_CPU, 'cores')
    streams = 2 * min(fleet.hosts - 1, fleet.fan_out * 2)
    memory = (
        RESIDENT_MB
        + streams * STREAM_MEMORY_KB / 1024
        + fleet.upstreams * RECORD_MEMORY_BYTES / 1e6
        + fleet.upstreams * fleet.slots * SEAT_BYTES * 2 / 1e6
    )
    print_row('memory: process, streams, records, assignments', memory, 'MB', 256)
    print_row('peer link: heartbeats sent and answered', heartbeats, '/s')
    control_bytes = heartbeats * 2 * (HEARTBEAT_BYTES + FRAMING_BYTES) / 1024
    assignment_bytes = fleet.upstreams / fleet.zones * fleet.slots * SEAT_BYTES
    assignment_rate = (
        fleet.replaced_hosts_per_day * 2 * assignment_bytes / 86_400 / 1024
    )
    record_rate = fleet.changes_per_day * 2048 / 86_400 / 1024
    print_row(
        'control: heartbeats, assignments, records',
        control_bytes + assignment_rate + record_rate,
        'KB/s',
        18,
    )
    ramp_reports = owned / 2 / 2
    control = (heartbeats + ramp_reports) * SINGLE_ITEM_CPU
    print_row('control: processor time', control * 100, '% of a core', 2.6)
    watches = 2 * fleet.zones / 2
    lists = 2 * fleet.zones / 2 + fleet.hosts / 30
    # At most three writes a second to each of the 64 buckets.
    writes = (
        min(192, 2 * fleet.bookings_per_second)
        + fleet.replaced_hosts_per_day * 4 / 86_400
    )
    print('\n| the platform, whole tier | calls | limit |\n|---|---|---|')
    print_row(
        'configuration relay: watches and host lists', watches + lists, '/s', 2000
    )
    print_row('claim writer: writes of 64 buckets, paced', writes, '/s', 300)
    print_row(
        'claim writer: bookings in one write',
        2 * fleet.bookings_per_second / writes,
        '',
    )
    print_row(
        'seat assignments: writes a day',
        fleet.replaced_hosts_per_day * 4,
        '',
        300 * 86_400,
    )
    print_row(
        'seat assignments: size of one record', assignment_bytes / 1024, 'KB', 1024
    )


if __name__ == '__main__':
    for each in FLEETS:
        work_out(each)
