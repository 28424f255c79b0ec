"""Gateway hosts: admission of requests, choice of targets, forwarding and answers."""

from thornlatch.gateway._app import GatewayApplication
from thornlatch.gateway._explanations import (
    GATEWAY_PAGE,
    READY,
    REFUSE,
    ErrorPage,
    Explanation,
    GatewayStatus,
    PageError,
    Reason,
    TargetExplanation,
)
from thornlatch.gateway._gateway import Gateway
from thornlatch.gateway._logs import LogSettings
from thornlatch.gateway._metrics import GatewayMetrics
from thornlatch.gateway._ports import (
    AnswerHead,
    CallerProtocol,
    CallerRequest,
    OrderReply,
    ReportedLoad,
    SendContext,
    TargetProtocol,
)
from thornlatch.gateway._settings import GatewaySettings, HostAddresses
from thornlatch.gateway._store_epoch import MAX_EPOCH, StoreEpochs
from thornlatch.gateway._stream_versions import KeyedValues, RecordsRefused
from thornlatch.gateway._target_limits import COLD_LIMIT_S, ColdTargetSettings
from thornlatch.gateway._where_query import WhereQuery, parse_part

__all__ = [
    "AnswerHead",
    "COLD_LIMIT_S",
    "CallerRequest",
    "ColdTargetSettings",
    "CallerProtocol",
    "ErrorPage",
    "Explanation",
    "GATEWAY_PAGE",
    "READY",
    "REFUSE",
    "Gateway",
    "GatewayApplication",
    "GatewayMetrics",
    "GatewaySettings",
    "GatewayStatus",
    "HostAddresses",
    "KeyedValues",
    "RecordsRefused",
    "LogSettings",
    "MAX_EPOCH",
    "OrderReply",
    "ReportedLoad",
    "PageError",
    "Reason",
    "SendContext",
    "StoreEpochs",
    "TargetExplanation",
    "TargetProtocol",
    "WhereQuery",
    "parse_part",
]
