"""Show the status and the recent events of hosts."""

import asyncio
from typing import Any

import httpx
import msgspec
from cleo.commands.command import Command
from cleo.helpers import argument, option

from .._exit_codes import ExitCode
from ._drawing import draw_timeline

HOST_TIMEOUT = 3  # seconds, of the request to one host


class StatusCommand(Command):
    """Show the state of zones, upstreams and other hosts as each host sees it."""

    name = 'status'
    description = 'Shows the state of the system as each host sees it, with reasons.'
    arguments = [argument('hosts', 'Base URLs of hosts.', multiple=True)]
    options = [option('json', 'j', 'Print JSON lines.')]

    def handle(self) -> int:
        """Query every host and print its status."""
        answers = asyncio.run(_query_hosts(self.argument('hosts'), '/v1/status'))
        code = ExitCode.OK
        for url, answer in answers.items():
            if isinstance(answer, httpx.HTTPError):
                self.line_error(f'{url}: {answer}', style='error')
                code = ExitCode.FAILED
            elif self.option('json'):
                self.line(msgspec.json.encode(answer).decode())
            else:
                self._print_status(answer)
        return code

    def _print_status(self, status: dict[str, Any]) -> None:
        state = 'leaving' if status['leaving'] else 'serving'
        self.line(
            f'{status["host"]} in {status["zone"]} is {state},'
            f' configuration at revision {status["revision"]}'
        )
        for host, observed in status['hosts'].items():
            self.line(f'  host {host}: {observed}')
        for zone, observed in status['zones'].items():
            self.line(f'  zone {zone}: {observed}')
        for name, each in sorted(status['upstreams'].items()):
            warmth = f', {each["warmth"]}' if 'warmth' in each else ''
            refusal = f', {each["refusal"]}' if each.get('refusal') else ''
            self.line(
                f'  upstream {name}: {each["state"]}{warmth}{refusal},'
                f' seats here {each["seats_here"]}, owners {", ".join(each["owners"])}'
            )
        for name, reason in status['refused_records'].items():
            self.line(f'  record {name} is refused: {reason}')


class TimelineCommand(Command):
    """Merge the time lines of hosts."""

    name = 'timeline'
    description = 'Merges the events of all hosts in causal order.'
    arguments = [argument('hosts', 'Base URLs of hosts.', multiple=True)]
    options = [
        option('request', None, 'Only events of this request.', flag=False),
        option('upstream', None, 'Only events of this upstream.', flag=False),
        option('zone', None, 'Only events of this zone.', flag=False),
        option('organisation', None, 'Only events of this organisation.', flag=False),
        option('format', 'f', 'text, json or html.', flag=False, default='text'),
    ]

    def handle(self) -> int:
        """Query every host, then merge, filter and print the events."""
        answers = asyncio.run(_query_hosts(self.argument('hosts'), '/v1/timeline'))
        events: list[dict[str, Any]] = []
        code = ExitCode.OK
        for url, answer in answers.items():
            if isinstance(answer, httpx.HTTPError):
                self.line_error(f'{url}: {answer}', style='error')
                code = ExitCode.FAILED
            else:
                events += answer
        matching = [event for event in merge_events(events) if self._matches(event)]
        self._print_events(matching)
        return code

    def _matches(self, event: dict[str, Any]) -> bool:
        return all(
            not self.option(key) or event.get(key) == self.option(key)
            for key in ('request', 'upstream', 'zone', 'organisation')
        )

    def _print_events(self, events: list[dict[str, Any]]) -> None:
        match self.option('format'):
            case 'json':
                for event in events:
                    self.line(msgspec.json.encode(event).decode())
            case 'html':
                self.line(draw_timeline(events))
            case _:
                for event in events:
                    self.line(describe_event(event))


def merge_events(events: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Sort the events of several hosts by Lamport time.

    Unlike wall-clock time, it puts causes before effects even if clocks differ.
    """
    return sorted(events, key=lambda event: (event['tick'], event['host']))


def describe_event(event: dict[str, Any]) -> str:
    """Format an event as one line of text."""
    subject = ' '.join(
        f'{key}={event[key]}'
        for key in ('request', 'upstream', 'zone', 'organisation')
        if event.get(key)
    )
    prefix = f'{event["tick"]:>8} {event["host"]:<21} {event["kind"]:<13}'
    return f'{prefix} {event["detail"]} {subject}'.rstrip()


async def _query_hosts(urls: list[str], path: str) -> dict[str, Any]:
    """Return the decoded answer of each host, or the exception that it caused."""
    async with httpx.AsyncClient(timeout=HOST_TIMEOUT) as client:
        answers = await asyncio.gather(
            *(client.get(url.rstrip('/') + path) for url in urls),
            return_exceptions=True,
        )
    return {
        url: answer.json() if isinstance(answer, httpx.Response) else answer
        for url, answer in zip(urls, answers, strict=True)
    }
