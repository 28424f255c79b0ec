"""Stand-in for the weight store, which slows down when overloaded."""

import threading
import time
from typing import Any

from standins._events import write_event
from standins._http import Environ, Response, build_app, build_parser, run_main, serve


class WeightStore:
    """Serves adapter weights, more slowly while many loads are in flight.

    Parameters
    ----------
    load_s : float
        Seconds per load at full speed.
    in_flight_loads : int
        Loads in flight up to which a load runs at full speed. Beyond that number, the
        duration of a load grows in proportion to the loads in flight when it starts.
    """

    def __init__(self, load_s: float = 0.25, in_flight_loads: int = 8) -> None:
        self.load_s = load_s
        self.in_flight_loads = in_flight_loads
        self.lock = threading.Lock()
        self.in_flight = 0
        self.peak_in_flight = 0
        self.load_count = 0
        self.fail_next = 0
        self.app = build_app(
            {
                ("GET", "/weights/"): self.get_weights,
                ("POST", "/faults"): self.set_faults,
                ("GET", "/healthz"): self.get_report,
            }
        )

    def get_weights(self, environ: Environ, _value: Any) -> Response:
        """Answer after the duration of a load; the body holds only the name."""
        with self.lock:
            self.in_flight += 1
            self.load_count += 1
            self.peak_in_flight = max(self.peak_in_flight, self.in_flight)
            slowdown = max(1.0, self.in_flight / self.in_flight_loads)
            is_failing = self.fail_next > 0
            self.fail_next -= int(is_failing)
        try:
            time.sleep(self.load_s * slowdown)
        finally:
            with self.lock:
                self.in_flight -= 1
        name = environ["PATH_INFO"].removeprefix("/weights/")
        write_event("store.weights_read", host="store", detail={"adapter": name})
        if is_failing:
            return Response({"error": "read failed"}, 500)
        return Response({"adapter": name})

    def set_faults(self, _environ: Environ, value: Any) -> Response:
        """Set how many of the next loads fail and the duration of loads."""
        with self.lock:
            self.fail_next = int(value.get("fail_next", 0))
            self.load_s = float(value.get("load_s", self.load_s))
        return Response({"ok": True})

    def get_report(self, _environ: Environ, _value: Any) -> Response:
        """Return the number of loads: total, in flight, and peak in flight."""
        report = {
            "loads": self.load_count,
            "in_flight": self.in_flight,
            "peak_in_flight": self.peak_in_flight,
        }
        return Response(report)


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
    parser.add_argument("--load-s", type=float, default=0.25)
    parser.add_argument("--in-flight-loads", type=int, default=8)
    options = parser.parse_args(arguments)
    store = WeightStore(options.load_s, options.in_flight_loads)
    return serve(store.app, options.address, name=options.name or "store", threads=64)


if __name__ == "__main__":
    run_main(main)
