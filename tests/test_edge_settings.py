"""The platform's settings file and its reload; limits on log output."""

import asyncio
import json
import os

import pytest
import structlog

from rattanspoke._edge_process import EdgeProcess
from rattanspoke._reload import POLL_INTERVAL, SettingsReload
from rattanspoke.contracts import RULES
from rattanspoke.model import SettingsError
from rattanspoke.observability import configure_logs
from rattanspoke.observability._logs import NonBlockingWriter
from rattanspoke.platform import load_host_settings

SETTINGS = """
node=front-tacoma-1
ip=10.1.0.39
zone=tacoma
zones.tacoma=cascadia
zones.everett=cascadia
listen.front=10.1.0.39:8226
listen.ready=10.1.0.39:8227
listen.control=10.1.0.39:8224
seeds=10.1.0.39:8224,10.2.0.33:8224
bounds.graceS=6
bounds.drainMs=3000
bounds.retryBudgetRatio=0.2
bounds.budgetExtraRetries=52
platform.address=10.200.1.7:8229
something.new=ignored
"""


def write(tmp_path, text):
    """Write a settings file and return its path."""
    path = tmp_path / 'settings.conf'
    path.write_text(text)
    return path


def test_settings_are_read(tmp_path):
    """Values are converted to their types and units; unknown names are ignored."""
    settings = load_host_settings(write(tmp_path, SETTINGS))
    assert settings.name == 'front-tacoma-1'
    assert settings.host == '10.1.0.39:8224'
    assert settings.seeds == ('10.1.0.39:8224', '10.2.0.33:8224')
    assert settings.regions == {'tacoma': 'cascadia', 'everett': 'cascadia'}
    assert settings.drain_time == 3
    assert settings.retry_slack == 52
    assert not settings.is_first_start
    first = load_host_settings(write(tmp_path, f'{SETTINGS}bootstrap=true\n'))
    assert first.is_first_start


@pytest.mark.parametrize(
    ('text', 'reason'),
    [
        (SETTINGS.replace('zone=tacoma\n', ''), 'zone: is missing'),
        (SETTINGS.replace('graceS=6', 'graceS=soon'), "graceS: 'soon' is not a number"),
        (SETTINGS.replace('graceS=6', 'graceS=nan'), "graceS: 'nan' is not a finite"),
        (SETTINGS.replace('graceS=6', 'graceS=-1'), "graceS: '-1' is not a finite"),
        (SETTINGS + 'no separator\n', "'no separator' is not name=value"),
        (
            SETTINGS + 'bootstrap=maybe\n',
            "bootstrap: 'maybe' is neither true nor false",
        ),
    ],
)
def test_unreadable_settings_name_file_key_and_reason(tmp_path, text, reason):
    """The error message is one line with the file, the key and the reason."""
    path = write(tmp_path, text)
    with pytest.raises(SettingsError) as caught:
        load_host_settings(path)
    assert str(path) in str(caught.value)
    assert reason in str(caught.value)
    assert '\n' not in str(caught.value)


@pytest.fixture
def reloading(tmp_path):
    """Return a settings file, its reload, and the settings that the reload applied."""
    path = write(tmp_path, SETTINGS)
    applied = []
    return path, SettingsReload(path, load_host_settings(path), applied.append), applied


def test_reload_applies_changed_settings(reloading):
    """Changed settings are applied; those that need a restart are logged apart."""
    path, reload, applied = reloading
    text = SETTINGS.replace('Retries=52', 'Retries=20').replace(':8226', ':9000')
    path.write_text(text)
    with structlog.testing.capture_logs() as lines:
        reload.reload()
    assert applied[-1].retry_slack == 20
    assert lines[0]['changed'] == ['retry_slack']
    assert lines[0]['at_next_start'] == ['callers']


def test_failed_reload_keeps_the_previous_settings(reloading):
    """A reload that fails logs the reason and applies nothing."""
    path, reload, applied = reloading
    path.write_text('zone=tacoma\n')
    with structlog.testing.capture_logs() as lines:
        reload.reload()
    assert not applied
    assert 'is missing' in lines[0]['reason']


def test_changed_file_is_reloaded_without_a_signal(run, reloading):
    """A change is applied within a few polling intervals, and only once."""
    path, reload, applied = reloading

    async def scene():
        reload_task = asyncio.ensure_future(reload.poll())
        await asyncio.sleep(POLL_INTERVAL * 3)
        assert not applied
        path.write_text(SETTINGS + 'bounds.warmupSlack=9\n')
        await asyncio.sleep(POLL_INTERVAL * 3)
        reload_task.cancel()
        assert [each.cold_slack for each in applied] == [9]

    run(scene())


@pytest.fixture
def pipe():
    """Yield the read end of a pipe, and its write end as a text stream for logs."""
    reading, writing = os.pipe()
    stream = os.fdopen(writing, 'w')
    yield reading, stream
    structlog.reset_defaults()
    stream.close()
    os.close(reading)


def test_first_start_is_decided_at_the_start(tmp_path):
    """A reload changes the rules, but not whether the system starts first."""
    first = load_host_settings(write(tmp_path, f'{SETTINGS}bootstrap=true\n'))
    process = EdgeProcess(first)
    changed = SETTINGS.replace('drainMs=3000', 'drainMs=4000')
    process.apply_settings(load_host_settings(write(tmp_path, changed)))
    rules = process.kernel.find(RULES).current
    assert rules.drain_time == 4
    assert rules.is_first_start


def test_repeated_lines_are_dropped_and_counted(pipe):
    """A burst of one event is cut off, while another event is still logged."""
    reading, stream = pipe
    configure_logs('info', stream)
    log = structlog.get_logger()
    for number in range(500):
        log.info('burst', number=number)
    log.info('other')
    lines = [json.loads(line) for line in os.read(reading, 1 << 20).splitlines()]
    assert 100 <= sum(line['event'] == 'burst' for line in lines) < 200
    assert lines[-1]['event'] == 'other'


def test_reader_that_is_gone_does_not_fail_the_host():
    """Lines are dropped when what reads them has gone; the host goes on."""
    reading, writing = os.pipe()
    os.close(reading)
    writer = NonBlockingWriter(writing)
    writer.write('line')
    writer.write('line')
    os.close(writing)
    assert writer.dropped == 2


def test_stalled_reader_does_not_block_the_host(pipe):
    """Lines that do not fit into a full pipe are dropped whole.

    Each line that is read later is complete.
    """
    reading, stream = pipe
    configure_logs('info', stream)
    log = structlog.get_logger()
    for number in range(300):
        log.info(f'event {number}', filler='x' * 1000)
    content = b''
    while chunk := _read_available(reading):
        content += chunk
        log.info('after the stall')
    lines = content.splitlines()[:-1]
    assert len(lines) < 300
    for line in lines:
        json.loads(line)


def _read_available(descriptor):
    os.set_blocking(descriptor, False)
    try:
        return os.read(descriptor, 1 << 16)
    except BlockingIOError:
        return b''
