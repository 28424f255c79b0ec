"""Answers the requests of operators to a host's metrics address."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import logbook
import msgspec

from thornlatch.core import read_clock
from thornlatch.exceptions import ANSWERS, ErrorKind, RequestRefused
from thornlatch.gateway._explainer import RequestExplainer
from thornlatch.gateway._explanations import ErrorPage, PageError
from thornlatch.gateway._status_page import StatusBuilder
from thornlatch.gateway._where_query import build_bad_argument, parse_query

logger = logbook.Logger("thornlatch.gateway")

STATUS_PATH, WHERE_PATH = "/status", "/where"
READING_METHODS = ("GET", "HEAD")


@dataclass(frozen=True)
class PageAnswer:
    """Answer to a request for a page.

    Parameters
    ----------
    status : int
    body : bytes
        JSON.
    """

    status: int
    body: bytes


class OperatorPages:
    """Builds the status page and the explanations of requests.

    Parameters
    ----------
    status : StatusBuilder
    explainer : RequestExplainer
    """

    def __init__(self, status: StatusBuilder, explainer: RequestExplainer) -> None:
        self.status = status
        self.explainer = explainer

    def answer(self, environ: dict[str, Any]) -> PageAnswer | None:
        """Return the answer to a request, or None if its path isn't one of a page.

        Parameters
        ----------
        environ : dict
            WSGI environment.

        Returns
        -------
        PageAnswer or None
        """
        builders: dict[str, Callable[[], Any]] = {
            STATUS_PATH: lambda: self.status.build(now=read_clock()),
            WHERE_PATH: lambda: self.explainer.explain(
                parse_query(environ.get("QUERY_STRING", "")), now=read_clock()
            ),
        }
        path = environ.get("PATH_INFO", "")
        if path not in builders:
            return None
        try:
            if environ["REQUEST_METHOD"] not in READING_METHODS:
                raise build_bad_argument("only GET is answered here")
            return PageAnswer(200, msgspec.json.encode(builders[path]()))
        except RequestRefused as error:
            return _build_error(error.kind, error.message)
        except Exception:
            logger.exception("host.page_failed", extra={"path": path})
            return _build_error(ErrorKind.INTERNAL, "the page couldn't be built")


def _build_error(kind: ErrorKind, message: str) -> PageAnswer:
    page = ErrorPage(PageError(kind.value, message))
    return PageAnswer(ANSWERS[kind].status, msgspec.json.encode(page))
