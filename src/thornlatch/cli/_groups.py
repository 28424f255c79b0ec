"""Commands that group subcommands."""

from dataclasses import dataclass

import cappa

from thornlatch.cli._config_diff import Diff
from thornlatch.cli._config_publish import Publish
from thornlatch.cli._config_show import Show
from thornlatch.cli._host_clear import Clear
from thornlatch.cli._host_list import List
from thornlatch.cli._host_remove import Remove
from thornlatch.cli._key_issue import Issue
from thornlatch.cli._key_withdraw import Withdraw
from thornlatch.cli._target_drain import Drain


@cappa.command(name="config", help="Publish and look at the configuration.")
@dataclass(frozen=True)
class Config:
    """Commands on the configuration."""

    command: cappa.Subcommands[Publish | Show | Diff]


@cappa.command(name="key", help="Issue and withdraw keys.")
@dataclass(frozen=True)
class KeyGroup:
    """Commands on keys."""

    command: cappa.Subcommands[Issue | Withdraw]


@cappa.command(name="target", help="Drain targets.")
@dataclass(frozen=True)
class TargetGroup:
    """Commands on targets."""

    command: cappa.Subcommands[Drain]


@cappa.command(name="host", help="List and remove hosts.")
@dataclass(frozen=True)
class HostGroup:
    """Commands on hosts."""

    command: cappa.Subcommands[List | Remove | Clear]
