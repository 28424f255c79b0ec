"""Registration, removal, expiry and return of targets."""

from dataclasses import replace

from thornlatch.fleet import RegistrySettings, Target, TargetRegistry

TARGET = Target("i-1", "llm", "10.0.0.1:80", "z", 8, started_ms=5)


def build():
    registry = TargetRegistry(RegistrySettings(return_s=1.6, outage_s=3.0))
    registry.apply("i-1", TARGET, now=0.0)
    return registry


def test_leaving_target_gets_no_new_requests():
    registry = build()
    assert registry.get_ready("llm") == (TARGET,)
    assert registry.apply("i-1", replace(TARGET, is_leaving=True), now=1.0)
    assert registry.get_ready("llm") == ()
    assert registry.get("i-1") is not None


def test_target_is_removed_at_once_while_the_store_is_available():
    registry = build()
    assert registry.apply("i-1", None, now=1.0)
    assert registry.get_ready("llm") == ()


def test_target_removed_during_an_outage_may_return():
    registry = build()
    registry.note_read_failure(now=1.0)
    assert not registry.apply("i-1", None, now=2.0)
    assert registry.get_ready("llm") == (TARGET,)
    registry.apply("i-1", TARGET, now=3.0)
    assert registry.expire(now=10.0) == []
    assert registry.get_ready("llm") == (TARGET,)


def test_target_removed_during_an_outage_expires_if_it_does_not_return():
    registry = build()
    registry.note_read_failure(now=1.0)
    registry.apply("i-1", None, now=2.0)
    assert registry.expire(now=3.5) == []
    assert registry.expire(now=3.7) == ["i-1"]
    assert registry.get_ready("llm") == ()


def test_restart_under_the_same_id_is_a_change():
    registry = build()
    assert not registry.apply("i-1", TARGET, now=1.0)
    assert registry.apply("i-1", replace(TARGET, started_ms=6), now=1.0)


def test_address_reused_by_another_service_is_a_new_target():
    registry = build()
    registry.apply("i-1", None, now=1.0)
    registry.apply("i-2", replace(TARGET, id="i-2", service="api"), now=2.0)
    assert registry.get_ready("llm") == ()
    assert [t.id for t in registry.get_ready("api")] == ["i-2"]
