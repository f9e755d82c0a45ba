/*
 * The load that a backend server reports of itself. The report lags behind by up to two seconds.
 */
package org.arbutusnotch.core.reservation

import org.arbutusnotch.core.time.Timestamp

/**
 * Holds one load report of an engine or a plain service.
 *
 * @property asOf time that the figures describe
 * @property active requests that run
 * @property waiting requests in the server's own queue
 * @property capacity requests that the server runs at a time; 0 when not reported
 * @property queuedPrefillTokens uncached prompt tokens that are accepted and not finished
 */
public data class LoadReport(
    public val asOf: Timestamp,
    public val active: Int,
    public val waiting: Int = 0,
    public val capacity: Int = 0,
    public val queuedPrefillTokens: Int = 0,
)
