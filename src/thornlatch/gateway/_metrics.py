"""Metrics of a gateway host, served in the Prometheus text format."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

LATENCY_BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1, 1.5, 2, 4, 8, 16)


class GatewayMetrics:
    """All metrics of a gateway host, in their own registry."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.answers = Counter(
            "thornlatch_gateway_answers",
            "Requests answered, by route and outcome.",
            ["route", "outcome"],
            registry=self.registry,
        )
        self.sends = Counter(
            "thornlatch_gateway_sends",
            "Requests sent to targets, by service and what the target answered.",
            ["service", "outcome"],
            registry=self.registry,
        )
        self.silences = Counter(
            "thornlatch_gateway_silences",
            "Targets silent for too long, by service and whether the request was kept"
            " there or left.",
            ["service", "decision"],
            registry=self.registry,
        )
        self.broken_streams = Counter(
            "thornlatch_gateway_broken_streams",
            "Answers that ended after their first part, by route and who ended them.",
            ["route", "by"],
            registry=self.registry,
        )
        self.unrecorded_streams = Counter(
            "thornlatch_gateway_unrecorded_streams",
            "Streams whose software version the store didn't record in time, by service"
            " and outcome.",
            ["service", "outcome"],
            registry=self.registry,
        )
        self.first_answer = Histogram(
            "thornlatch_gateway_first_answer_seconds",
            "Seconds from a request to the first event or the answer.",
            ["route"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.waits = Histogram(
            "thornlatch_gateway_wait_seconds",
            "Seconds that a request waited before it was sent.",
            ["route"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.orders = Counter(
            "thornlatch_residency_orders",
            "Orders to targets, by kind and outcome.",
            ["kind", "outcome"],
            registry=self.registry,
        )
        self.leaving_targets = Counter(
            "thornlatch_gateway_leaving_targets",
            "Targets that announced that they leave, by what they answered.",
            ["source"],
            registry=self.registry,
        )
        self.pauses = Counter(
            "thornlatch_gateway_pauses",
            "Pauses that targets asked for, by what they answered.",
            ["source"],
            registry=self.registry,
        )
        self.limits = Counter(
            "thornlatch_gateway_limit_changes",
            "Changes of the rates of requests that targets limit, by what they"
            " answered.",
            ["source"],
            registry=self.registry,
        )
        self.cold_targets = Gauge(
            "thornlatch_gateway_cold_targets",
            "Targets whose requests are limited because they are cold.",
            registry=self.registry,
        )
        self.evacuated_domains = Gauge(
            "thornlatch_gateway_evacuated_domains",
            "Failure domains whose targets get no requests, as operators evacuated"
            " them.",
            registry=self.registry,
        )
        self.pace_targets = Gauge(
            "thornlatch_pace_targets",
            "Targets that started or recovered and don't get their full load yet.",
            registry=self.registry,
        )
        self.pace_changes = Counter(
            "thornlatch_pace_changes",
            "Changes of the windows of paced targets, by reason.",
            ["reason"],
            registry=self.registry,
        )
        self.cut_targets = Gauge(
            "thornlatch_gateway_cut_targets",
            "Targets that this host reaches through other hosts only.",
            registry=self.registry,
        )
        self.tunnels = Gauge(
            "thornlatch_gateway_tunnels",
            "Connections to targets that this host passes on for other hosts.",
            registry=self.registry,
        )
        self.store_calls = Counter(
            "thornlatch_store_calls",
            "Calls to the platform's store, by call and outcome.",
            ["call", "outcome"],
            registry=self.registry,
        )
        self.store_epoch = Gauge(
            "thornlatch_store_epoch",
            "Epoch of the platform's store; rises when it is restored from a copy.",
            registry=self.registry,
        )
        self.running = Gauge(
            "thornlatch_gateway_running_requests",
            "Requests that are being served.",
            registry=self.registry,
        )
        self.received_memory = Gauge(
            "thornlatch_gateway_received_bytes",
            "Bytes that received bodies and unfinished events take.",
            registry=self.registry,
        )
        self.live_peers = Gauge(
            "thornlatch_fleet_live_peers",
            "Other hosts heard of lately.",
            registry=self.registry,
        )
