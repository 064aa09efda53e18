"""Names of headers, paths, topics and keys in the platform's protocols, each defined once."""

from typing import Final

REQUEST_ID: Final = "X-Request-Id"
DEADLINE_MS: Final = "X-Deadline-Ms"
SERVER_STAMP: Final = "X-Server-Stamp"
EXPECT_INSTANCE: Final = "X-Expect-Instance"
EXPECT_VERSION: Final = "X-Expect-Version"
INSTANCE_ID: Final = "X-Instance-Id"
NOT_EXECUTED: Final = "X-Not-Executed"
LAST_EVENT_ID: Final = "Last-Event-Id"
WEIGHT_VERSIONS: Final = "X-Weight-Versions"
REQUEST_PRIORITY: Final = "X-Request-Priority"
TOKEN_COUNTS: Final = "X-Token-Counts"
LENGTH_HINT: Final = "X-Length-Hint"
# Memory that a target reserves, keeps, fetches, or copies for a request.
HOLD: Final = "X-Hold"
PIN_MS: Final = "X-Pin-Ms"
KV_FETCH: Final = "Kv-Fetch"
KV_FROM: Final = "Kv-From"
KV_BACKUP: Final = "X-Kv-Backup"
WAIT_MS: Final = "X-Wait-Ms"
CREDENTIALS: Final = "Authorization"
# The platform calls a workspace a tenant.
WORKSPACE: Final = "X-Tenant"
# Headers by which a caller identifies itself; with API keys they never reach a target.
IDENTITY_HEADERS: Final = frozenset({CREDENTIALS.lower(), WORKSPACE.lower()})

# The holder of a duty that calls the platform's API, and its fencing number.
DUTY_HOLDER: Final = "X-Duty-Holder"
DUTY_FENCING: Final = "X-Fencing-Token"

PATH_USAGE: Final = "/usage"
PATH_SCALE: Final = "/scale"
PATH_REPORT: Final = "/v1/report"
PATH_ORDER: Final = "/v1/order"
PATH_READY: Final = "/v1/readiness"
PATH_RESOLVE: Final = "/v1/resolve"
PATH_STEP: Final = "/v1/lots/"
PATH_ITEM: Final = "/v1/items/"
PATH_APPEND: Final = "/v1/log-append"
PATH_READ: Final = "/v1/log-read"
PATH_TRIM: Final = "/v1/log-trim"
PATH_NEWEST: Final = "/v1/log-newest"
TOPIC_OPERATOR: Final = "keyed.op"
TOPIC_TARGETS: Final = "keyed.servers"
CONFIG_KEY: Final = "config"
VERSION_KEY_PREFIX: Final = "version/"
