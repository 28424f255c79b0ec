"""Names of the users' platform occur only in platform/ and deploy/."""

import re
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
PLATFORM_NAMES = re.compile(
    r"Thornlatch-[A-Z]|apiKeys|pathPrefix|routeType|loadedModels|loadedAdapters"
    r"|fencingToken|adapterId|modelId|ratePerS|uncachedTokens|/api/log-"
    r"|keyed\.(op|servers)|nodeName|listenersConfig|revokeTimeoutMs|THORNLATCH_NODE"
    r"|allowedRegions|evacuationMs|contactTimeoutMs"
)


def test_product_contains_no_names_of_the_platform():
    for folder in ("src", "standins", "bench", "examples"):
        for path in (ROOT / folder).rglob("*.py"):
            match = PLATFORM_NAMES.search(path.read_text())
            assert match is None, (path, match)


def test_product_does_not_import_the_adapter():
    for path in (ROOT / "src").rglob("*.py"):
        assert not re.search(r"^(from|import) adapter", path.read_text(), re.MULTILINE)
