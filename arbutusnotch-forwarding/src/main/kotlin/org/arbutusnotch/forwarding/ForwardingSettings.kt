/*
 * The settings of an instance that forwards requests.
 */
package org.arbutusnotch.forwarding

import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.workspace.QuotaTolerance
import kotlin.time.Duration

/**
 * Holds the addresses of an instance, each `ip:port`, and the limits that its deployment sets.
 *
 * @property peerAddress address for datagrams from other instances
 * @property frontAddress address for the requests of callers
 * @property readyAddress address for readiness checks
 * @property controlAddress address for other instances
 * @property metricsAddress address for metrics
 * @property directoryAddress address for address lookups of callers
 * @property storeAddress address of the published store
 * @property seeds instances to contact first
 * @property drainTime time after which a leaving server must not get any more work
 * @property shutdownTime time between the stop signal and the forced exit
 * @property retryRatio retries per request, for all instances together
 * @property fixedRetries retries per budget window, independent of the number of requests, for all instances together
 * @property processorCapacity processor time of the instance in cores; 0 when unknown
 * @property revocationTime time after which a key that was removed from the configuration must be rejected; null for
 * no limit
 * @property quotaTolerance what the requests of a workspace may exceed its quota by
 * @property pacesServers whether servers that have just started or recovered get fewer requests at a time
 * @property maximumDescriptors open files and connections that the machine allows the instance; 0 when unknown
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
    public val fixedRetries: Int,
    public val processorCapacity: Double = 0.0,
    public val revocationTime: Duration? = null,
    public val quotaTolerance: QuotaTolerance = QuotaTolerance(),
    public val pacesServers: Boolean = false,
    public val maximumDescriptors: Int = 0,
)
