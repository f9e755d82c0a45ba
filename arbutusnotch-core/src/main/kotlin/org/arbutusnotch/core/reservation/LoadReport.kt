/*
 * The load that a backend server reports about itself. The report lags by up to two seconds.
 */
package org.arbutusnotch.core.reservation

import org.arbutusnotch.core.time.Timestamp

/**
 * Describes one load report of an engine or a plain service.
 *
 * @property asOf time at which the load was measured
 * @property active running requests
 * @property waiting requests in the queue of the server
 * @property capacity maximum number of concurrent requests; 0 when not reported
 * @property queuedPrefillTokens uncached prompt tokens of accepted, unfinished prefills
 */
public data class LoadReport(
    public val asOf: Timestamp,
    public val active: Int,
    public val waiting: Int = 0,
    public val capacity: Int = 0,
    public val queuedPrefillTokens: Int = 0,
)
