"""The time line as one HTML page that needs nothing else."""

from html import escape
from typing import Any

ROW = 26  # pixels from one event to the next
LANE = 230  # pixels from one host to the next
MARGIN = 70
RADIUS = 6

COLOURS = {
    'request': '#2563eb',
    'answer': '#16a34a',
    'attempt': '#64748b',
    'hedge': '#d97706',
    'refusal': '#dc2626',
    'configuration': '#7c3aed',
    'membership': '#0891b2',
    'ramp': '#ea580c',
    'drain': '#be185d',
    'seat': '#4d7c0f',
    'claim': '#0f766e',
    'suspicion': '#991b1b',
}
STYLE = (
    'body{font:13px system-ui,sans-serif;margin:1.5rem;color:#0f172a}'
    'svg text{font:12px system-ui,sans-serif}'
    '.lane{stroke:#cbd5e1}.join{stroke:#2563eb;stroke-dasharray:3 3;fill:none}'
    '.key span{display:inline-block;margin-right:1rem}'
    '.key i{display:inline-block;width:.7em;height:.7em;border-radius:50%;'
    'margin-right:.3em}'
)


def draw_timeline(events: list[dict[str, Any]]) -> str:
    """Return a page with one lane for each host; dashes join events of one request."""
    hosts = sorted({event['host'] for event in events})
    lanes = {host: MARGIN + number * LANE for number, host in enumerate(hosts)}
    width = MARGIN * 2 + LANE * max(1, len(hosts))
    height = MARGIN + ROW * (len(events) + 1)
    shapes = [_draw_lane(host, across, height) for host, across in lanes.items()]
    shapes += _draw_joins(events, lanes)
    shapes += [
        _draw_event(event, lanes[event['host']], _row(number))
        for number, event in enumerate(events)
    ]
    return (
        '<!doctype html><html lang="en"><meta charset="utf-8">'
        f'<title>rattanspoke time line</title><style>{STYLE}</style>'
        f'<h1>Time line of {len(events)} events on {len(hosts)} hosts</h1>'
        f'<p class="key">{_draw_key()}</p>'
        f'<svg width="{width}" height="{height}">{"".join(shapes)}</svg></html>'
    )


def _row(number: int) -> int:
    return MARGIN + ROW * number


def _draw_key() -> str:
    return ''.join(
        f'<span><i style="background:{colour}"></i>{kind}</span>'
        for kind, colour in COLOURS.items()
    )


def _draw_lane(host: str, across: int, height: int) -> str:
    return (
        f'<text x="{across}" y="24" text-anchor="middle" font-weight="bold">'
        f'{escape(host)}</text>'
        f'<line class="lane" x1="{across}" y1="36" x2="{across}" y2="{height}"/>'
    )


def _draw_joins(events: list[dict[str, Any]], lanes: dict[str, int]) -> list[str]:
    """Join each event of a request to that request's event before it."""
    joins = []
    last: dict[str, tuple[int, int]] = {}
    for number, event in enumerate(events):
        request = event.get('request')
        if not request:
            continue
        point = (lanes[event['host']], _row(number))
        if request in last:
            old = last[request]
            path = f'M{old[0]} {old[1]}L{point[0]} {point[1]}'
            joins.append(f'<path class="join" d="{path}"/>')
        last[request] = point
    return joins


def _draw_event(event: dict[str, Any], across: int, down: int) -> str:
    colour = COLOURS.get(event['kind'], '#000')
    about = event.get('upstream') or event.get('organisation') or ''
    text = f'{about} {event["detail"]}'.strip()
    shown = text if len(text) <= 34 else f'{text[:33]}…'
    return (
        f'<g><title>{escape(text)} (tick {event["tick"]})</title>'
        f'<circle cx="{across}" cy="{down}" r="{RADIUS}" fill="{colour}"/>'
        f'<text x="{across + 12}" y="{down + 4}">{escape(shown)}</text></g>'
    )
