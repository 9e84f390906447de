"""Checks of the architecture: which packages and modules may import which."""

import ast
from pathlib import Path

import pytest

SOURCE = Path(__file__).parent.parent / 'src' / 'rattanspoke'
CODECS = {
    'aiohttp',
    'google',
    'grpc',
    'httpx',
    'json',
    'litestar',
    'msgspec',
    'pyjson5',
    'uvicorn',
}
PROCESS_MODULES = {'subprocess', 'multiprocessing', 'concurrent'}
CLOCKS = {'asyncio', 'time'}
# The packages that each package may import.
ALLOWED_IMPORTS = {
    'model': set(),
    'kernel': {'model'},
    'contracts': {'kernel', 'model'},
    'decisions': {'model'},
    'services': {'contracts', 'decisions', 'kernel', 'model'},
    'observability': {'contracts', 'kernel', 'model'},
    'peering': {'contracts', 'model'},
    'platform': {'contracts', 'kernel', 'model'},
    'transports': {
        'contracts',
        'decisions',
        'kernel',
        'model',
        'observability',
        'platform',
    },
    'standins': {'contracts', 'model', 'peering', 'platform', 'transports'},
}


def list_imports(path):
    """Yield the level and the name of each import of a module; level 0 is absolute."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            for alias in node.names:
                yield 0, alias.name
        if isinstance(node, ast.ImportFrom):
            yield node.level, node.module or ''


def list_modules(package):
    """Return the paths of a package's modules, without generated ones."""
    return [
        path for path in (SOURCE / package).glob('*.py') if 'peer_pb2' not in path.name
    ]


@pytest.mark.parametrize('package', sorted(ALLOWED_IMPORTS))
def test_package_imports_only_what_it_may(package):
    """A package imports only the packages that the layering allows."""
    for path in list_modules(package):
        for level, name in list_imports(path):
            if level == 2:
                assert name.split('.')[0] in ALLOWED_IMPORTS[package], (path, name)


def test_decisions_import_no_codec_and_no_clock():
    """Decisions depend neither on the encoding of messages nor on a clock."""
    for path in list_modules('decisions'):
        for level, name in list_imports(path):
            if level == 0:
                assert name.split('.')[0] not in CODECS | CLOCKS, (path, name)


def test_no_service_imports_another():
    """Services find each other through the kernel and import only helper modules."""
    helpers = {
        '_tasks',
        '_link',
        '_work',
        '_dispatcher',
        '_health',
        '_fanout',
        '_fingerprints',
        '_service_request',
        '_reports',
        '_request_queue',
        '_shard_results',
    }
    for path in list_modules('services'):
        if path.name == '__init__.py':
            continue
        for level, name in list_imports(path):
            if level == 1:
                assert name in helpers, (path, name)


def test_nothing_starts_a_process():
    """No module imports a library that starts processes."""
    for path in SOURCE.rglob('*.py'):
        for _, name in list_imports(path):
            assert name.split('.')[0] not in PROCESS_MODULES, (path, name)


def test_endless_work_is_supervised():
    """A loop without an end is annotated so, and never the work of a plain task.

    An unexpected error ends a plain task for good, and nobody notices.
    """
    endless = set()
    for path in SOURCE.rglob('*.py'):
        tree = ast.parse(path.read_text())
        for node in ast.walk(tree):
            if isinstance(node, ast.AsyncFunctionDef) and loops_forever(node):
                assert isinstance(node.returns, ast.Name), (path, node.name)
                assert node.returns.id == 'NoReturn', (path, node.name)
                endless.add(node.name)
    assert endless
    for path in SOURCE.rglob('*.py'):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Call) and find_name(node.func) in PLAIN_TASKS:
                started = {find_name(each) for each in ast.walk(node)}
                assert 'supervisor' in ast.dump(node) or not started & endless, path


LOOP_EXITS = ast.Return | ast.Break | ast.Yield
PLAIN_TASKS = {'spawn', 'create_task', 'ensure_future'}


def loops_forever(function):
    """Return whether a function holds a `while True` that only an error leaves."""
    for node in ast.walk(function):
        if isinstance(node, ast.While) and isinstance(node.test, ast.Constant):
            inner = [each for child in node.body for each in ast.walk(child)]
            if not any(isinstance(each, LOOP_EXITS) for each in inner):
                return True
    return False


def find_name(node):
    """Return the last part of a name or attribute, empty for other expressions."""
    return getattr(node, 'attr', getattr(node, 'id', ''))
