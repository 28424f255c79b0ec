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


def test_target_whose_entry_was_lost_in_a_restore_may_return():
    """Targets write their entries again, but not at once."""
    registry = build()
    registry.note_restored(now=1.0)
    assert not registry.apply("i-1", None, now=1.1)
    assert registry.expire(now=4.5) == []
    registry.apply("i-1", TARGET, now=4.5)
    assert registry.expire(now=10.0) == []
    assert registry.get_ready("llm") == (TARGET,)


def test_target_that_does_not_return_after_a_restore_expires():
    registry = build()
    registry.note_restored(now=1.0)
    registry.apply("i-1", None, now=1.1)
    assert registry.expire(now=4.5) == []
    assert registry.expire(now=4.7) == ["i-1"]
    registry.apply("i-1", TARGET, now=20.0)
    assert registry.apply("i-1", None, now=21.0)


def test_leaving_target_leaves_after_a_restore_until_it_restarts():
    registry = build()
    registry.apply("i-1", replace(TARGET, is_leaving=True), now=1.0)
    registry.note_restored(now=2.0)
    registry.apply("i-1", TARGET, now=2.1)
    assert registry.get_ready("llm") == ()
    registry.apply("i-1", replace(TARGET, started_ms=6), now=3.0)
    assert len(registry.get_ready("llm")) == 1


def test_removed_target_is_used_after_a_restore_only_if_it_writes_a_further_entry():
    registry = build()
    registry.apply("i-1", replace(TARGET, entry_number=7), now=1.0)
    registry.apply("i-1", None, now=2.0)
    registry.note_restored(now=3.0)
    registry.apply("i-1", replace(TARGET, entry_number=6), now=3.1)
    assert registry.get_ready("llm") == ()
    registry.apply("i-1", replace(TARGET, entry_number=8), now=4.0)
    assert len(registry.get_ready("llm")) == 1


def test_removed_target_may_return_with_any_entry_without_a_restore():
    registry = build()
    registry.apply("i-1", None, now=2.0)
    registry.apply("i-1", TARGET, now=3.1)
    assert registry.get_ready("llm") == (TARGET,)


def test_restarted_target_is_not_replaced_by_its_former_incarnation():
    registry = build()
    restarted = replace(TARGET, started_ms=9)
    registry.apply("i-1", restarted, now=1.0)
    registry.note_restored(now=2.0)
    assert not registry.apply("i-1", TARGET, now=2.1)
    assert registry.get_ready("llm") == (restarted,)
