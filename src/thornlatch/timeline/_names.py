"""Names of events, with the fields of `detail` that the checks read."""

MESSAGE_SENT = "peer.message_sent"
MESSAGE_RECEIVED = "peer.message_received"
TOKENS_SPENT = "admission.tokens_spent"
TOKENS_RETURNED = "admission.tokens_returned"
INVENTORY_BEGUN = "admission.inventory_begun"
ALLOWANCE_IN_FORCE = "configuration.allowance_in_force"
CONFIGURATION_IN_FORCE = "configuration.applied"
KEY_WITHDRAWN = "configuration.key_withdrawn"
OWNERSHIP_BEGAN = "dispatch.pool_owned"
LOAD_ORDERED = "placement.load_ordered"
EVICT_ORDERED = "placement.evict_ordered"
GRANTED = "dispatch.granted"
RELEASED = "dispatch.released"
TARGET_LEAVING = "dispatch.target_leaving"
TARGET_RETURNED = "dispatch.target_returned"
REQUEST_ACCEPTED = "requests.accepted"
REQUEST_SENT = "requests.sent"
REQUEST_ANSWERED = "requests.answered"
REQUEST_REFUSED = "requests.refused"
REQUEST_ENDED = "requests.ended"
TOKENS_PASSED = "requests.tokens_passed"
CLAIM_WON = "requests.claim_won"
CLAIM_LOST = "requests.claim_lost"
CLAIM_COMPLETED = "requests.claim_completed"
CLAIM_UNRESOLVED = "requests.claim_unresolved"
CLAIM_RELEASED = "requests.claim_released"
ANSWER_REPEATED = "requests.answer_repeated"
SUSPECTED = "quarantine.suspected"
QUARANTINE_REFUSED = "quarantine.refused"
STOP_BEGAN = "daemon.stop_began"
STOPPED = "daemon.stopped"
REQUEST_RUN = "target.request_run"
ADAPTER_UNLOADED = "target.adapter_unloaded"

EVENT_NAMES: dict[str, str] = {
    MESSAGE_SENT: "A message was sent to a peer; `cause` identifies it.",
    MESSAGE_RECEIVED: "A message of a peer was received; `cause` identifies it.",
    TOKENS_SPENT: "Tokens of an organisation were spent: `tokens`.",
    TOKENS_RETURNED: "Tokens that a request didn't use were returned: `tokens`.",
    INVENTORY_BEGUN: "A new owner of `key` at `epoch` began to collect the shares.",
    ALLOWANCE_IN_FORCE: "An organisation's allowance came into force: `rate`, `burst`.",
    CONFIGURATION_IN_FORCE: "The configuration at `offset` came into force at a host.",
    KEY_WITHDRAWN: "The withdrawal of a key came into force at a host: `digest`.",
    OWNERSHIP_BEGAN: "A host became the owner of `key` at `epoch`.",
    LOAD_ORDERED: "An owner ordered a target to load: `adapter_version`.",
    EVICT_ORDERED: "An owner ordered a target to evict: `adapter_version`.",
    GRANTED: "A request was granted a target: `adapter_version`.",
    RELEASED: "The grant of a request ended: `adapter_version`.",
    TARGET_LEAVING: "A target began to leave.",
    TARGET_RETURNED: "A target accepts requests again.",
    REQUEST_ACCEPTED: "A request was accepted from its caller.",
    REQUEST_SENT: "An attempt was sent to a target: `idempotent`, `claim`,"
    " `idempotency_key`, `key_digest`.",
    REQUEST_ANSWERED: "The complete answer was passed on: `version`, `requested`,"
    " `tokens`.",
    REQUEST_REFUSED: "A request was refused: `code`, `execution`.",
    REQUEST_ENDED: "A request ended without an answer because its caller disconnected.",
    TOKENS_PASSED: "Tokens of a stream were passed on: `first`, `count`, `key_digest`.",
    CLAIM_WON: "A claim was won, so its call may be sent: `claim`.",
    CLAIM_LOST: "Another claim holds the key: `claim`.",
    CLAIM_COMPLETED: "The answer to a claimed call is recorded: `claim`.",
    CLAIM_UNRESOLVED: "The outcome of a claimed call is unknown: `claim`.",
    CLAIM_RELEASED: "A claimed call was not run and its key was released: `claim`.",
    ANSWER_REPEATED: "A repeated request received the recorded answer.",
    SUSPECTED: "A target failed while it ran the request.",
    QUARANTINE_REFUSED: "A request is refused permanently on all hosts: `fp`.",
    STOP_BEGAN: "A planned stop of a host began.",
    STOPPED: "A planned stop of a host ended.",
    ADAPTER_UNLOADED: "A target evicted `adapter`; requests using it: `used`.",
    REQUEST_RUN: "A target ran a request: `has_key` if it received a caller's key.",
}
