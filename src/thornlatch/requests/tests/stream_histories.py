"""Seeded random histories of streams with failed, resumed and repeated attempts."""

import random

from thornlatch.exceptions import ErrorKind, RequestRefused, TargetError
from thornlatch.requests import StreamCursor, StreamPart

VERSIONS = ("a@1", "a@2")


def get_tokens(request, version, count):
    return [f"{request}:{version}:{index}" for index in range(count)]


class StreamHistory:
    """Serves several requests; parts arrive late, out of order or not at all."""

    def __init__(self, seed, cursor=StreamCursor):
        self.random = random.Random(seed)
        self.cursors = {
            f"r{index}": cursor(
                f"r{index}", adapter_version=self.random.choice(VERSIONS)
            )
            for index in range(4)
        }
        self.lengths = {name: self.random.randrange(1, 30) for name in self.cursors}
        self.received = {name: [] for name in self.cursors}
        self.ended = {}
        self.late = []

    def run(self):
        for name, cursor in self.cursors.items():
            for _ in range(12):
                if name not in self.ended:
                    self.attempt(name, cursor)
        return self

    def attempt(self, name, cursor):
        attempt = cursor.start_attempt()
        parts = self.make_parts(name, attempt, cursor)
        if self.random.random() < 0.5:
            del parts[self.random.randrange(len(parts) + 1) :]
        self.late += [part for part in parts if self.random.random() < 0.3]
        try:
            for part in self.disturb(parts):
                if self.late and self.random.random() < 0.3:
                    self.deliver(name, self.random.choice(self.late))
                self.deliver(name, part)
            cursor.finish()
            self.ended[name] = "whole"
        except TargetError:
            return
        except RequestRefused as refusal:
            assert refusal.kind is ErrorKind.VERSION_MISMATCH
            self.ended[name] = "refused"

    def make_parts(self, name, attempt, cursor):
        version = cursor.adapter_version
        if self.random.random() < 0.05:
            version = self.random.choice(VERSIONS)
        tokens = get_tokens(name, version, self.lengths[name])
        begin = cursor.next_token - self.random.choice([0, 0, 1, 3])
        begin = max(begin, 0)
        parts = []
        while begin < len(tokens) or not parts:
            end = begin + self.random.randrange(1, 6)
            parts.append(
                StreamPart(
                    name,
                    attempt,
                    version,
                    begin,
                    tuple(tokens[begin:end]),
                    is_last=end >= len(tokens),
                )
            )
            begin = end
        return parts

    def disturb(self, parts):
        for part in parts:
            chance = self.random.random()
            if chance < 0.05:
                continue
            yield part
            if chance < 0.15:
                yield part

    def deliver(self, name, part):
        self.received[name] += self.cursors[name].accept(part)

    def check(self):
        """Return the requests whose caller received a mixed or incomplete answer."""
        found = []
        for name, cursor in self.cursors.items():
            expected = get_tokens(name, cursor.adapter_version, self.lengths[name])
            received = self.received[name]
            is_whole = self.ended.get(name) == "whole"
            if received != (expected if is_whole else expected[: len(received)]):
                found.append(name)
        return found
