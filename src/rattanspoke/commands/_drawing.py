"""Render the time line as a self-contained HTML page."""

from html import escape
from typing import Any

ROW_HEIGHT = 26  # pixels from one event to the next
LANE_WIDTH = 230  # pixels from one host to the next
MARGIN = 70  # pixels around the drawing
RADIUS = 6  # pixels, of the dot of an event

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
    """Return a page with one lane per host and one row per event.

    Dashed lines connect the events of one request.

    Args:
        events: the events in the order in which they are drawn, as decoded from
            /v1/timeline.
    """
    hosts = sorted({event['host'] for event in events})
    lanes = {host: MARGIN + number * LANE_WIDTH for number, host in enumerate(hosts)}
    width = MARGIN * 2 + LANE_WIDTH * max(1, len(hosts))
    height = MARGIN + ROW_HEIGHT * (len(events) + 1)
    shapes = [_draw_lane(host, center_x, height) for host, center_x in lanes.items()]
    shapes += _draw_request_segments(events, lanes)
    shapes += [
        _draw_event(event, lanes[event['host']], _row_y(number))
        for number, event in enumerate(events)
    ]
    return (
        '<!doctype html><html lang="en"><meta charset="utf-8">'
        f'<title>rattanspoke time line</title><style>{STYLE}</style>'
        f'<h1>Time line of {len(events)} events on {len(hosts)} hosts</h1>'
        f'<p class="key">{_draw_legend()}</p>'
        f'<svg width="{width}" height="{height}">{"".join(shapes)}</svg></html>'
    )


def _row_y(number: int) -> int:
    return MARGIN + ROW_HEIGHT * number


def _draw_legend() -> str:
    return ''.join(
        f'<span><i style="background:{colour}"></i>{kind}</span>'
        for kind, colour in COLOURS.items()
    )


def _draw_lane(host: str, center_x: int, height: int) -> str:
    return (
        f'<text x="{center_x}" y="24" text-anchor="middle" font-weight="bold">'
        f'{escape(host)}</text>'
        f'<line class="lane" x1="{center_x}" y1="36" x2="{center_x}" y2="{height}"/>'
    )


def _draw_request_segments(
    events: list[dict[str, Any]], lanes: dict[str, int]
) -> list[str]:
    """Return a line from each event of a request to its previous event."""
    segments = []
    last_points: dict[str, tuple[int, int]] = {}
    for number, event in enumerate(events):
        request = event.get('request')
        if not request:
            continue
        point = (lanes[event['host']], _row_y(number))
        if request in last_points:
            previous = last_points[request]
            path = f'M{previous[0]} {previous[1]}L{point[0]} {point[1]}'
            segments.append(f'<path class="join" d="{path}"/>')
        last_points[request] = point
    return segments


def _draw_event(event: dict[str, Any], center_x: int, center_y: int) -> str:
    colour = COLOURS.get(event['kind'], '#000')
    subject = event.get('upstream') or event.get('organisation') or ''
    text = f'{subject} {event["detail"]}'.strip()
    label = text if len(text) <= 34 else f'{text[:33]}…'
    return (
        f'<g><title>{escape(text)} (tick {event["tick"]})</title>'
        f'<circle cx="{center_x}" cy="{center_y}" r="{RADIUS}" fill="{colour}"/>'
        f'<text x="{center_x + 12}" y="{center_y + 4}">{escape(label)}</text></g>'
    )
