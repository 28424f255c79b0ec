"""Stand-in for a plain service, some of whose calls aren't idempotent."""

import threading
import time
from typing import Any

from standins._events import write_event
from standins._http import Environ, Response, build_app, build_parser, run_main, serve


class PlainService:
    """Runs every call, counts and records it, and echoes its body.

    Parameters
    ----------
    name : str
        Name of the target in events.
    delay_s : float
        Seconds that a call takes.
    """

    def __init__(self, name: str = "plain", delay_s: float = 0.0) -> None:
        self.name = name
        self.delay_s = delay_s
        self.lock = threading.Lock()
        self.run_count = 0
        self.lose_answers = 0
        self.recorded: list[dict[str, Any]] = []
        self.app = build_app(
            {
                ("POST", "/faults"): self.set_faults,
                ("GET", "/load"): lambda *_: Response({"runs": self.run_count}),
                ("GET", "/recorded"): lambda *_: Response(self.recorded),
                ("POST", "/"): self.run,
                ("GET", "/"): self.run,
            }
        )

    def run(self, environ: Environ, value: Any) -> Response:
        """Run one call."""
        headers = {k: v for k, v in environ.items() if k.startswith("HTTP_")}
        request = environ.get("HTTP_X_REQUEST_ID", "")
        with self.lock:
            self.run_count += 1
            run_number = self.run_count
            self.recorded.append({"headers": headers, "body": value})
            is_lost = self.lose_answers > 0
            self.lose_answers -= int(is_lost)
        write_event(
            "target.request_run",
            host=self.name,
            request=request,
            attempt=int(environ.get("HTTP_X_ATTEMPT", "0")),
            target=self.name,
            detail={
                "path": environ["PATH_INFO"],
                "has_key": "HTTP_AUTHORIZATION" in headers,
            },
        )
        time.sleep(self.delay_s)
        if is_lost:
            raise ConnectionAbortedError("injected fault: answer lost")
        answer = {"run": run_number, "path": environ["PATH_INFO"], "echo": value}
        return Response(answer)

    def set_faults(self, _environ: Environ, value: Any) -> Response:
        """Set the delay and the number of calls that run but whose answer is lost."""
        with self.lock:
            self.delay_s = float(value.get("delay_s", self.delay_s))
            self.lose_answers = int(value.get("lose_answers", 0))
        return Response({"ok": True})


def main(arguments: list[str]) -> int:
    """Run the stand-in until SIGTERM.

    Parameters
    ----------
    arguments : list of str
        Command-line arguments.

    Returns
    -------
    int
        Exit status.
    """
    parser = build_parser(__doc__)
    parser.add_argument("--delay-s", type=float, default=0.0)
    options = parser.parse_args(arguments)
    name = options.name or "plain"
    service = PlainService(name, options.delay_s)
    return serve(service.app, options.address, name=name, threads=32)


if __name__ == "__main__":
    run_main(main)
