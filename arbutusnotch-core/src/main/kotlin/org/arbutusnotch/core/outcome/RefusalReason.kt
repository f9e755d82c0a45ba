/*
 * The reasons why a request is not answered, each with its HTTP status.
 */
package org.arbutusnotch.core.outcome

/**
 * Names why a request was not answered.
 *
 * @property code name of the reason in headers, response bodies, logs and counters
 * @property httpStatus status of the HTTP response
 */
public enum class RefusalReason(public val code: String, public val httpStatus: Int) {
    MALFORMED_REQUEST("malformed_request", 400),
    UNAUTHENTICATED("unauthenticated", 401),
    UNKNOWN_ROUTE("unknown_route", 404),
    REQUEST_TOO_LARGE("request_too_large", 413),
    BODY_TIMEOUT("body_timeout", 408),
    TOKEN_MISSING("token_missing", 428),
    TOKEN_MALFORMED("token_malformed", 400),
    TOKEN_EXPIRED("token_expired", 409),
    TOKEN_REUSED("token_reused", 422),
    ISSUER_UNREACHABLE("issuer_unreachable", 503),
    ISSUER_REPLACED("issuer_replaced", 409),
    PERMIT_TABLE_FULL("permit_table_full", 503),
    PERMIT_UNKNOWN("permit_unknown", 409),
    ANSWER_NOT_RETAINED("answer_not_retained", 409),
    CLIENT_LIMIT("client_limit", 429),
    CAPACITY("capacity", 503),
    NO_BACKEND_SERVER("no_backend_server", 503),
    QUARANTINED("quarantined", 503),
    RETRY_BUDGET_SPENT("retry_budget_spent", 503),
    DEADLINE_EXCEEDED("deadline_exceeded", 504),
    BACKEND_FAILED("backend_failed", 502),
    DRAINING("draining", 503),
    NO_CONFIGURATION("no_configuration", 503),
    INSTANCE_PAUSED("instance_paused", 503),
}
