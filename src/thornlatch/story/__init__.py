"""Explains the outcome of a request from the logs of all gateway hosts."""

from thornlatch.story._explanation import RequestExplanation, explain_request
from thornlatch.story._lines import LogLine, read_lines

__all__ = ["LogLine", "RequestExplanation", "explain_request", "read_lines"]
