"""Assembly of one streamed answer from the parts of several attempts."""

from dataclasses import dataclass

from thornlatch.exceptions import ErrorKind, RequestRefused, TargetError


@dataclass(frozen=True, slots=True)
class StreamPart:
    """Tokens that a target sent for one attempt.

    Parameters
    ----------
    request : str
    attempt : int
    adapter_version : str
        Adapter and version that the target reports.
    first_token : int
        Index of the first token in the whole answer.
    tokens : tuple of str
        Text of each token.
    is_last : bool
        Whether the answer ends after these tokens.
    """

    request: str
    attempt: int
    adapter_version: str
    first_token: int
    tokens: tuple[str, ...]
    is_last: bool = False


class StreamCursor:
    """Tracks the position in one answer over all attempts of its request.

    Not thread-safe; owned by the worker thread that serves the request, or by the relay
    thread while the worker waits for it.

    Parameters
    ----------
    request : str
    adapter_version : str
        Adapter and version that the request runs on.
    """

    def __init__(self, request: str, *, adapter_version: str) -> None:
        self.request = request
        self.adapter_version = adapter_version
        self.attempt = 0
        self.sent_tokens: list[str] = []
        self.is_complete = False

    def start_attempt(self) -> int:
        """Start the next attempt; parts of earlier attempts are ignored from now on.

        Returns
        -------
        int
            Number of the attempt, which has to resume at `next_token`.
        """
        self.attempt += 1
        return self.attempt

    @property
    def next_token(self) -> int:
        """Index of the token after the last one sent to the caller."""
        return len(self.sent_tokens)

    def accept(self, part: StreamPart) -> tuple[str, ...]:
        """Return the tokens of a part that the caller has not received yet.

        Parts of another request or attempt yield no tokens.

        Raises
        ------
        RequestRefused
            `VERSION_MISMATCH` if the target ran another adapter or version.
        TargetError
            If tokens are missing or repeated tokens differ; another attempt may resume.
        """
        if part.request != self.request or part.attempt != self.attempt:
            return ()
        if self.is_complete:
            return ()
        if part.adapter_version != self.adapter_version:
            raise RequestRefused(
                ErrorKind.VERSION_MISMATCH,
                f"expected {self.adapter_version}, target ran {part.adapter_version}",
            )
        new_tokens = self._remove_overlap(part)
        self._check_end(part)
        self.sent_tokens += new_tokens
        self.is_complete = part.is_last
        return new_tokens

    def _remove_overlap(self, part: StreamPart) -> tuple[str, ...]:
        overlap = self.next_token - part.first_token
        if overlap < 0 or part.first_token < 0:
            raise TargetError(
                f"expected token {self.next_token}, got {part.first_token}",
                is_sent=True,
            )
        if overlap == 0:
            return part.tokens
        repeated = part.tokens[:overlap]
        begin = part.first_token
        if tuple(self.sent_tokens[begin : begin + len(repeated)]) != repeated:
            raise TargetError(
                f"the answer resumed at token {begin} differs from the tokens"
                " sent before",
                is_sent=True,
            )
        return part.tokens[overlap:]

    def _check_end(self, part: StreamPart) -> None:
        end = part.first_token + len(part.tokens)
        if part.is_last and end < self.next_token:
            raise TargetError(
                f"the resumed answer ends after {end} tokens,"
                f" but {self.next_token} were sent before",
                is_sent=True,
            )

    def finish(self) -> None:
        """Check that the answer is complete when the target closes the stream.

        Raises
        ------
        TargetError
            If the last part is missing.
        """
        if not self.is_complete:
            raise TargetError(
                f"the stream ended after {self.next_token} tokens without a last part",
                is_sent=True,
            )
