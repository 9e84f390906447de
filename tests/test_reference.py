"""Reference page, examples, and the errors for settings and records not valid."""

from pathlib import Path

import pytest

from rattanspoke._settings import load_settings, read_settings
from rattanspoke.commands._files import load_records, parse_records
from rattanspoke.model import RecordError, SettingsError, TailFirst
from tools.write_reference import PAGE, render

EXAMPLES = Path(__file__).parent.parent / 'examples'
VALID_SETTINGS = {
    'host': '10.0.0.1:8101',
    'zone': 'zone-a',
    'listen': '10.0.0.1:8001',
    'platform': 'http://10.0.0.9',
}


def test_reference_page_is_up_to_date():
    """The generated page for operators matches the types of settings and records."""
    assert PAGE.read_text(encoding='utf-8') == render()


def test_examples_are_valid():
    """The example files load without an error."""
    assert load_settings(EXAMPLES / 'host.json5').zone == 'zone-a'
    assert len(load_records(EXAMPLES / 'records.json5')) == 5


@pytest.mark.parametrize(
    ('change', 'key'),
    [
        ({'zones': 1}, 'zones'),
        ({'zone': 7}, 'zone'),
        ({'zone': ''}, 'zone'),
        ({'listen': 'nowhere'}, 'listen'),
        ({'host': '10.0.0.1:99999'}, 'host'),
        ({'platform': 'ftp://x'}, 'platform'),
        ({'leave_wait': -1}, 'leave_wait'),
        ({'max_body': 0}, 'max_body'),
        ({'log_level': 'loud'}, 'log_level'),
    ],
)
def test_bad_setting_names_its_key(change, key):
    """The error for an unknown key, a wrong type or a bad value names the key."""
    with pytest.raises(SettingsError, match=key):
        read_settings(VALID_SETTINGS | change)


@pytest.mark.parametrize(
    ('old', 'new', 'line', 'field'),
    [
        ('slots: 4', 'slots: 0', 13, 'slots'),
        ('ramp: 5', "ramp: 'x'", 16, 'ramp'),
        ("address: '", "adress: '", 12, 'adress'),
        ("'in service'", "'ajar'", 3, 'state'),
        ("'tail first'", "'fast'", 36, 'policy'),
        ('schema: 2', 'schema: 9', 31, 'schema'),
    ],
)
def test_bad_record_names_line_and_field(old, new, line, field):
    """The error for a record that violates its schema names the line and the field."""
    text = (EXAMPLES / 'records.json5').read_text(encoding='utf-8')
    with pytest.raises(RecordError) as caught:
        parse_records(text.replace(old, new), 'records')
    assert f'records:{line}:' in str(caught.value)
    assert field in str(caught.value)


def test_old_schema_of_an_organisation_is_read():
    """Records with schema 1 are still read, which a rollout of schema 2 depends on."""
    digest = '0' * 64
    text = (
        "[{kind: 'organisation', name: 'c', spec:"
        f" {{schema: 1, token_digest: '{digest}', weighs: 'tail'}}}}]"
    )
    (declared,) = parse_records(text, 'records')
    assert declared.record.policy == TailFirst()
