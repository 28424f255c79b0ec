"""Routes, services and organisations in force, and the choice of a request's route."""

from thornlatch.routing._configuration import (
    CallerLimits,
    CallKind,
    Configuration,
    EngineLimits,
    ModelSize,
    Organisation,
    Route,
    Service,
)
from thornlatch.routing._in_force import ConfigurationInForce, FreshnessSettings
from thornlatch.routing._table import RouteTable, choose_service

__all__ = [
    "CallKind",
    "CallerLimits",
    "Configuration",
    "ConfigurationInForce",
    "EngineLimits",
    "FreshnessSettings",
    "ModelSize",
    "Organisation",
    "Route",
    "RouteTable",
    "Service",
    "choose_service",
]
