/*
 * The settings of an instance that forwards requests.
 */
package org.arbutusnotch.forwarding

import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.id.InstanceAddress
import kotlin.time.Duration

/**
 * Holds the addresses of an instance, each `ip:port`, and the limits that its surroundings set.
 *
 * @property peerAddress address for datagrams of other instances
 * @property frontAddress address for the requests of callers
 * @property readyAddress address for the question whether the instance is ready
 * @property controlAddress address for other instances
 * @property metricsAddress address for metrics
 * @property directoryAddress address for callers that ask which instances to use
 * @property storeAddress address of the published store
 * @property seeds instances to contact first
 * @property drainTime time within which a leaving server must get no more work
 * @property shutdownTime time between the signal to stop and the forced end
 * @property retryRatio retries that all instances together may send for each request
 * @property retryAllowance retries that all instances together may send without requests, in the window of the budget
 */
public data class ForwardingSettings(
    public val peerAddress: InstanceAddress,
    public val failureDomain: FailureDomainId,
    public val frontAddress: String,
    public val readyAddress: String,
    public val controlAddress: String,
    public val metricsAddress: String,
    public val directoryAddress: String,
    public val storeAddress: String,
    public val seeds: List<InstanceAddress>,
    public val drainTime: Duration,
    public val shutdownTime: Duration,
    public val retryRatio: Double,
    public val retryAllowance: Int,
)
