"""The story of one request, told from the logs of all gateway hosts."""

from thornlatch.story._lines import LogLine, read_lines
from thornlatch.story._story import Story, tell_story

__all__ = ["LogLine", "Story", "read_lines", "tell_story"]
