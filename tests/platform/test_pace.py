"""Gateway processes before a server that starts while requests arrive."""

import pytest

from adapter._node_file import build_settings, read_node_file
from hosts import Host
from test_target_limits import run_hosts, send_steadily


@pytest.fixture
def cold_bounds(monkeypatch):
    build = Host.build_settings

    def build_with_cold_bounds(host):
        return build(host).replace("[bounds]", "[bounds]\ncoldOverage = 1.5")

    monkeypatch.setattr(Host, "build_settings", build_with_cold_bounds)


@pytest.mark.parametrize("value", ["", "coldOverage = 1.5", "coldOverage = 2"])
def test_pace_is_enabled_where_the_bounds_name_cold_targets(
    tmp_path, monkeypatch, value
):
    host = object.__new__(Host)
    host.name, host.internal_port, host.store_address = "edge-1", 1, "127.0.0.1:2"
    host.callers, host.readiness_port = 3, 4
    path = tmp_path / "node.toml"
    path.write_text(host.build_settings().replace("[bounds]", f"[bounds]\n{value}"))
    monkeypatch.setenv("THORNLATCH_NODE_FILE", str(path))
    assert build_settings(read_node_file()).pace.is_enabled == bool(value)


@pytest.mark.timeout(90)
def test_hosts_raise_the_load_of_a_restarted_server_together(tmp_path, cold_bounds):
    """Every host used it at full weight as soon as it was listed."""
    with run_hosts(tmp_path, "api-1", "api-2", hosts=3) as (store, servers, hosts):
        send_steadily(hosts, rate=20, for_s=1.0)
        assert not any(host.list_events("target.pace_changed") for host in hosts)
        servers["api-1"].crash()
        servers["api-1"].restart()
        store.put("keyed.servers", "api-1", servers["api-1"].describe())

        def has_ended(host):
            changes = host.list_events("target.pace_changed")
            return any(not change["paced"] for change in changes)

        answers = send_steadily(hosts, rate=30, for_s=6.0)
        assert all(has_ended(host) for host in hosts)
        changes = hosts[0].list_events("target.pace_changed")
    assert {status for status, _ in answers} == {200}
    assert changes[0]["why"] in ("started", "peer")
    windows = [change["window"] for change in changes]
    assert windows == sorted(windows)
    assert windows[0] == 2.0
