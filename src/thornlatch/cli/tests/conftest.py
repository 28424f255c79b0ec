import pytest

from standins._http import BackgroundServer
from standins.log_service import LogService
from thornlatch.cli import _control_log, _log, run

INVENTORY = """
[[organisations]]
name = "shop"
rate = 100
burst = 1000

[[pools]]
name = "api"
kind = "plain"

[[targets]]
name = "api-1"
pool = "api"
address = "10.0.0.1:80"
failure_domain = "a"
"""


class HookedLog(LogService):
    """Log service whose hooks a test can replace to act before or after an append."""

    def before_append(self):
        pass

    def after_append(self, response):
        return response

    def append(self, environ, value):
        self.before_append()
        return self.after_append(super().append(environ, value))


@pytest.fixture
def service(monkeypatch):
    monkeypatch.setattr(_log, "RETRY_PAUSE_S", 0.0)
    monkeypatch.setattr(_control_log, "RETRY_PAUSE_S", 0.0)
    return HookedLog(appends_per_s=10_000)


@pytest.fixture
def address(service):
    with BackgroundServer(service.app, threads=4) as server:
        yield server.address


@pytest.fixture
def call(address, capsys):
    """Return a function that runs a command and returns status, stdout and stderr."""

    def call(*arguments, author="ana"):
        options = ["--log", address, "--author", author]
        status = run([*map(str, arguments), *options])
        captured = capsys.readouterr()
        return status, captured.out, captured.err

    return call


@pytest.fixture
def inventory(tmp_path):
    path = tmp_path / "inventory.toml"
    path.write_text(INVENTORY)
    return path
