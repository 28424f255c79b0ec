import pytest

from thornlatch.exceptions import ErrorKind, RequestRefused, TargetError
from thornlatch.requests import StreamCursor, StreamPart
from thornlatch.requests.tests.stream_histories import StreamHistory


@pytest.mark.parametrize("seed", range(50))
def test_history_kept(seed):
    assert StreamHistory(seed).run().check() == []


class KeepsRepeats(StreamCursor):
    def _remove_overlap(self, part):
        super()._remove_overlap(part)
        return part.tokens


class IgnoresGaps(StreamCursor):
    def _remove_overlap(self, part):
        return part.tokens[max(self.next_token - part.first_token, 0) :]


class IgnoresAttempt(StreamCursor):
    def accept(self, part):
        self.attempt, self.request = part.attempt, part.request
        return super().accept(part)


class IgnoresVersion(StreamCursor):
    def accept(self, part):
        self.adapter_version, kept = part.adapter_version, self.adapter_version
        try:
            return super().accept(part)
        finally:
            self.adapter_version = kept


class IgnoresEnd(StreamCursor):
    def finish(self):
        pass


@pytest.mark.parametrize(
    "cursor", [KeepsRepeats, IgnoresGaps, IgnoresAttempt, IgnoresVersion, IgnoresEnd]
)
def test_history_broken(cursor):
    caught = [seed for seed in range(50) if StreamHistory(seed, cursor).run().check()]
    print("caught by seeds", caught)
    assert caught


def make_cursor():
    cursor = StreamCursor("r", adapter_version="a@1")
    cursor.start_attempt()
    assert cursor.accept(StreamPart("r", 1, "a@1", 0, ("x", "y"))) == ("x", "y")
    cursor.start_attempt()
    return cursor


@pytest.mark.parametrize(
    ("part", "expected"),
    [
        (StreamPart("r", 2, "a@1", 2, ("z",)), ("z",)),
        (StreamPart("r", 2, "a@1", 0, ("x", "y", "z")), ("z",)),
        (StreamPart("r", 2, "a@1", 0, ("x",)), ()),
        (StreamPart("r", 1, "a@1", 2, ("z",)), ()),
        (StreamPart("q", 2, "a@1", 2, ("z",)), ()),
    ],
    ids=["resumed", "repeated", "all-repeated", "earlier-attempt", "other-request"],
)
def test_accept_part(part, expected):
    assert make_cursor().accept(part) == expected


@pytest.mark.parametrize(
    ("part", "kind"),
    [
        (StreamPart("r", 2, "a@1", 3, ("z",)), ErrorKind.TARGET_FAILED),
        (StreamPart("r", 2, "a@1", -1, ("z",)), ErrorKind.TARGET_FAILED),
        (StreamPart("r", 2, "a@1", 0, ("X", "y", "z")), ErrorKind.TARGET_FAILED),
        (StreamPart("r", 2, "a@1", 0, ("x",), is_last=True), ErrorKind.TARGET_FAILED),
        (StreamPart("r", 2, "a@2", 2, ("z",)), ErrorKind.VERSION_MISMATCH),
    ],
    ids=["gap", "negative", "differs", "ends-early", "other-version"],
)
def test_accept_refused(part, kind):
    cursor = make_cursor()
    with pytest.raises((TargetError, RequestRefused)) as caught:
        cursor.accept(part)
    assert caught.value.kind is kind
    assert cursor.next_token == 2


def test_finish_without_end_refused():
    with pytest.raises(TargetError):
        make_cursor().finish()
