"""Generates seeded traces of requests and the deployments that serve them."""

from dataclasses import dataclass
from itertools import accumulate
from random import Random

from thornlatch.configuration import Pool, Store, Target

ADAPTERS = 3000
ZIPF_EXPONENT = 1.1
ORGANISATION_SHARES = (0.35, 0.25, 0.2, 0.12, 0.08)
BATCH_SHARE = 0.3
SHIFT_INTERVAL_S = 200.0
SHIFTED_RANKS = 300
SHIFTED_SHARE = 0.2


@dataclass(frozen=True)
class Deployment:
    """Engines and weight store of one site."""

    name: str
    pool: Pool
    store: Store
    targets: tuple[Target, ...]


@dataclass(frozen=True)
class Arrival:
    """One request of a trace; times are in seconds."""

    index: int
    at: float
    organisation: str
    adapter: str
    is_batch: bool
    tokens: float
    deadline_s: float


@dataclass(frozen=True)
class TraceSettings:
    """Parameters of a trace; rates are in requests per second.

    From `boosted_from_s` on, the organisation `boosted` sends `boost` times as many
    requests.
    """

    seed: int
    rate: float
    duration_s: float
    boosted: str = ""
    boost: float = 1.0
    boosted_from_s: float = 0.0


def make_deployment(name, store, domains, engines=10, batch_slots=16, adapter_slots=32):
    pool = Pool("llm", "engine", "base", store.name)
    targets = tuple(
        Target(
            f"engine-{index:02}",
            "llm",
            f"10.0.0.{index + 1}:8000",
            f"domain-{index % domains}",
            batch_slots,
            adapter_slots,
        )
        for index in range(engines)
    )
    return Deployment(name, pool, store, targets)


KITABU = make_deployment("kitabu", Store("weights", 5.0, 1, 8, 0.25), 3)
MANDACARU = make_deployment("mandacaru", Store("weights", 6.0, 2, 16, 0.25), 4)


class Popularity:
    """Zipf popularity of adapters; a shift swaps some of the popular ones."""

    def __init__(self, random):
        self.random = random
        self.order = list(range(ADAPTERS))
        random.shuffle(self.order)
        weights = [(rank + 1) ** -ZIPF_EXPONENT for rank in range(ADAPTERS)]
        self.cumulative = list(accumulate(weights))

    def draw(self):
        rank = self.random.choices(range(ADAPTERS), cum_weights=self.cumulative)[0]
        return self.order[rank]

    def shift(self):
        ranks = self.random.sample(
            range(SHIFTED_RANKS), int(SHIFTED_RANKS * SHIFTED_SHARE)
        )
        for rank in ranks:
            other_rank = self.random.randrange(ADAPTERS)
            order = self.order
            order[rank], order[other_rank] = order[other_rank], order[rank]


def get_weight(organisation):
    """Return the weight of an organisation, which equals its usual share."""
    return ORGANISATION_SHARES[int(organisation[-1])]


def make_trace(settings):
    """Return the arrivals of a trace in chronological order."""
    random = Random(settings.seed)
    popularity = Popularity(random)
    owners = _assign_owners(Random(settings.seed + 1))
    boost_random = Random(settings.seed + 2)
    arrivals = []
    now, shift_at = 0.0, SHIFT_INTERVAL_S
    while now < settings.duration_s:
        now += random.expovariate(settings.rate)
        if now >= shift_at:
            popularity.shift()
            shift_at += SHIFT_INTERVAL_S
        adapter = popularity.draw()
        arrival = _draw_arrival(random, now, owners[adapter], adapter)
        arrivals.append(arrival)
        is_boosted = now >= settings.boosted_from_s
        if is_boosted and arrival.organisation == settings.boosted:
            arrivals += _draw_extra_arrivals(
                boost_random, arrival, settings, popularity, owners
            )
    arrivals.sort(key=lambda arrival: arrival.at)
    return [
        Arrival(index, *list(vars(arrival).values())[1:])
        for index, arrival in enumerate(arrivals)
    ]


def _assign_owners(random):
    names = [f"organisation-{index}" for index in range(len(ORGANISATION_SHARES))]
    return random.choices(names, ORGANISATION_SHARES, k=ADAPTERS)


def _draw_arrival(random, now, owner, adapter):
    is_batch = random.random() < BATCH_SHARE
    mean = 400.0 if is_batch else 150.0
    tokens = min(8 * mean, max(20.0, random.lognormvariate(0.0, 0.6) * mean * 0.83))
    deadline_s = 600.0 if is_batch else 30.0
    return Arrival(0, now, owner, f"a{adapter}", is_batch, tokens, deadline_s)


def _draw_extra_arrivals(random, arrival, settings, popularity, owners):
    """Return the requests that an organisation sends above its usual rate."""
    extra = []
    while len(extra) < settings.boost - 1:
        adapter = random.choices(range(ADAPTERS), cum_weights=popularity.cumulative)[0]
        adapter = popularity.order[adapter]
        if owners[adapter] == arrival.organisation:
            at = arrival.at + random.random()
            extra.append(_draw_arrival(random, at, arrival.organisation, adapter))
    return extra
