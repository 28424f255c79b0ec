"""The table of adapters by target: precedence of reports, and wake-ups."""

from thornlatch.residency import Resident, ResidentTable

AVAILABLE = Resident(1, 10.0)


def test_expected_load_outlives_an_older_digest():
    table = ResidentTable()
    table.apply_holder_report("t", {"m/a": AVAILABLE}, now=10.0)
    table.note_expected_load("t", "m/b", Resident(1, 10.3), now=10.1)
    table.apply_holder_report("t", {"m/a": AVAILABLE}, now=10.3)
    assert table.get("t", "m/b") == Resident(1, 10.3)
    table.apply_holder_report("t", {"m/a": AVAILABLE}, now=10.9)
    assert table.get("t", "m/b") is None


def test_digest_that_has_the_adapter_replaces_the_expected_load():
    table = ResidentTable()
    table.note_expected_load("t", "m/b", Resident(1, 10.3), now=10.1)
    table.apply_holder_report("t", {"m/b": Resident(2, 10.4)}, now=10.3)
    table.apply_holder_report("t", {}, now=10.4)
    assert table.get("t", "m/b") is None


def test_possible_targets_are_listed_by_adapter():
    table = ResidentTable()
    table.apply_holder_report("t", {"m/a": AVAILABLE}, now=10.0)
    table.apply_holder_report("u", {"m/a": AVAILABLE, "m/b": AVAILABLE}, now=10.0)
    table.apply_holder_report("u", {"m/b": AVAILABLE}, now=11.0)
    assert table.list_possible_targets("m/a") == {"t", "u"}
    table.remove("t")
    assert table.list_possible_targets("m/a") == {"u"}
    assert table.list_possible_targets("m/c") == frozenset()


def test_report_that_an_adapter_is_still_available_wakes_no_thread():
    table = ResidentTable()
    table.apply_holder_report("t", {"m/a": Resident(1, 10.2)}, now=10.0)
    table.apply_holder_report("t", {"m/a": Resident(1, 10.4)}, now=10.3)
    assert table.revisions["m/a"] == 2  # expected later than reported before
    for now in (10.5, 11.5):
        table.apply_holder_report("t", {"m/a": Resident(1, now)}, now=now)
    assert table.revisions["m/a"] == 2
    table.apply_holder_report("t", {"m/a": Resident(2, 12.0)}, now=12.0)
    assert table.get("t", "m/a") == Resident(2, 12.0)


def test_removed_target_wakes_those_who_wait_for_a_load_there():
    table = ResidentTable()
    table.apply_holder_report("t", {"m/a": Resident(1, 99.0)}, now=10.0)
    revision = table.revisions["m/a"]
    table.remove("t")
    assert table.revisions["m/a"] > revision
    assert "t" not in table.by_target


def test_registration_does_not_replace_a_report_that_arrives_meanwhile():
    table = ResidentTable()

    class Condition:
        """Applies the holder's report just before the lock is taken."""

        def __enter__(self):
            table.changed = condition
            table.apply_holder_report("t", {"m/a": AVAILABLE}, now=10.0)
            condition.__enter__()

        def __exit__(self, *error):
            condition.__exit__(*error)

    condition, table.changed = table.changed, Condition()
    table.apply_registration("t", {}, now=10.0)
    assert table.get("t", "m/a") == AVAILABLE


def test_holder_report_is_confirmed_until_the_state_changes():
    table = ResidentTable()
    assert not table.confirm_holder_report("t", ("a",), now=10.0)
    table.apply_holder_report("t", {"m/a": AVAILABLE}, now=10.0, report=("a",))
    assert table.confirm_holder_report("t", ("a",), now=11.0)
    assert table.holder_reported_at["t"] == 11.0
    assert not table.confirm_holder_report("t", ("a", "b"), now=11.0)
    changes = (
        lambda: table.note_expected_load("t", "m/b", Resident(1, 12.3), now=12.0),
        lambda: table.delay("t", "m/a", until=13.0),
        lambda: table.remove("t"),
    )
    for change in changes:
        table.apply_holder_report("t", {"m/a": AVAILABLE}, now=20.0, report=("a",))
        change()
        assert not table.confirm_holder_report("t", ("a",), now=20.0)
