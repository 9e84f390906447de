"""Generated pages follow the types; examples are valid; commands exit as they say."""

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
    """The operators' page says what the types say."""
    assert PAGE.read_text(encoding='utf-8') == render()


def test_examples_are_valid():
    """The examples pass the check that they are meant to show."""
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
    """An unknown key, a wrong type or an impossible value is named."""
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
    """A record that breaks its schema is refused with the line and the field."""
    text = (EXAMPLES / 'records.json5').read_text(encoding='utf-8')
    with pytest.raises(RecordError) as caught:
        parse_records(text.replace(old, new), 'records')
    assert f'records:{line}:' in str(caught.value)
    assert field in str(caught.value)


def test_old_schema_of_an_organisation_is_read():
    """Schema 1 stands beside schema 2 while a change rolls out."""
    digest = '0' * 64
    text = (
        "[{kind: 'organisation', name: 'c', spec:"
        f" {{schema: 1, token_digest: '{digest}', weighs: 'tail'}}}}]"
    )
    (declared,) = parse_records(text, 'records')
    assert declared.record.policy == TailFirst()
