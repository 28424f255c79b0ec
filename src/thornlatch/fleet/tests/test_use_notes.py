"""Rare adapters come and go faster than the digests of a large fleet arrive."""

from thornlatch.fleet import AdapterUsed, UseNotes
from thornlatch.fleet._use_notes import NOTE_VALIDITY_S

USED = AdapterUsed("t", "m/a", True)
ENDED = AdapterUsed("t", "m/a", False)


def test_adapter_that_a_request_was_just_sent_for_counts_as_used():
    notes = UseNotes()
    notes.add("h1", USED, now=1.0)
    assert notes.correct("t", {"": 3, "m/b": 3}, now=1.01) == {
        "": 3,
        "m/b": 3,
        "m/a": 1,
    }


def test_adapter_whose_last_request_has_just_ended_counts_as_idle():
    notes = UseNotes()
    notes.add("h1", USED, now=1.0)
    notes.add("h1", ENDED, now=1.3)
    assert notes.correct("t", {"m/a": 1}, now=1.31) == {"m/a": 0}


def test_end_at_one_host_does_not_hide_the_use_at_another():
    notes = UseNotes()
    notes.add("h1", USED, now=1.0)
    notes.add("h2", USED, now=1.0)
    notes.add("h1", ENDED, now=1.1)
    # The digest of h1 has arrived, that of h2 hasn't.
    assert notes.correct("t", {"m/a": 0}, now=1.2) == {"m/a": 1}


def test_digests_take_over_after_a_while():
    notes = UseNotes()
    notes.add("h1", ENDED, now=1.0)
    later = 1.0 + NOTE_VALIDITY_S
    assert notes.correct("t", {"m/a": 2}, now=later) == {"m/a": 2}
    notes.add("h2", AdapterUsed("t", "m/b", True), now=later)
    assert list(notes.by_target["t"]) == [("m/b", "h2")]


def test_notes_on_targets_of_other_holders_are_dropped():
    notes = UseNotes()
    notes.add("h1", USED, now=1.0)
    notes.retain_targets({"u"})
    assert notes.correct("t", {}, now=1.0) == {}
