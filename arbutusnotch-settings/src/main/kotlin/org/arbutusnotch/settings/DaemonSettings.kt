/*
 * The settings of one daemon. They configure the instance; what the deployment routes is in the operators' file.
 */
package org.arbutusnotch.settings

import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.id.Incarnation
import org.arbutusnotch.core.id.InstanceAddress
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Holds the settings of one daemon; a value that [DaemonSettingsReader] returns has passed every check. */
public data class DaemonSettings(
    public val instance: InstanceSettings,
    public val platform: PlatformSettings,
    public val limits: LimitSettings = LimitSettings(),
    public val routing: RoutingSettings = RoutingSettings(),
    public val seed: SeedSettings = SeedSettings(),
)

/**
 * Holds the addresses of an instance, each in the form `ip:port`.
 *
 * @property entryAddress address for callers
 * @property peerAddress address for other instances; it identifies the instance
 * @property operatorAddress address for operators
 * @property peerListenAddress address that the daemon binds for other instances, if it differs from [peerAddress]
 * @property incarnation incarnation number of this start; null means the start time in epoch milliseconds
 */
public data class InstanceSettings(
    public val entryAddress: String,
    public val peerAddress: InstanceAddress,
    public val operatorAddress: String,
    public val failureDomain: FailureDomainId,
    public val incarnation: Incarnation? = null,
    public val peerListenAddress: InstanceAddress = peerAddress,
)

/** Holds the address of the platform in the form `ip:port`. */
public data class PlatformSettings(public val address: String)

/**
 * Holds the limits of an instance.
 *
 * @property headerBytes maximum size of the headers of a request
 * @property bodyBytes maximum size of the body of a request
 * @property promptTokens maximum length of a prompt
 * @property bodyTimeout maximum time until a request has been received completely
 * @property permitRecords maximum number of idempotency tokens that the instance records as issuer at a time
 * @property answerBytes maximum size of an answer that the instance records as issuer for one idempotency token
 * @property workerThreads number of threads that handle connections
 * @property tokenLifetime time until the expiry of the issuer prefixes that the instance returns to callers
 * @property drainTimeout maximum time of a drain, after which it interrupts the requests that still run
 */
public data class LimitSettings(
    public val headerBytes: Int = 16_384,
    public val bodyBytes: Int = 4_194_304,
    public val promptTokens: Int = 131_072,
    public val bodyTimeout: Duration = 10.seconds,
    public val permitRecords: Int = 10_000,
    public val answerBytes: Int = 8_192,
    public val workerThreads: Int = 2,
    public val drainTimeout: Duration = 120.seconds,
    public val tokenLifetime: Duration = 60.seconds,
)

/** Holds the policy by which the instance selects backend servers. */
public data class RoutingSettings(public val policy: RoutingPolicyName = RoutingPolicyName.PREDICTIVE)

/** Names a routing policy. */
public enum class RoutingPolicyName(public val code: String) {
    PREDICTIVE("chosen"),
    ROUND_ROBIN("round-robin"),
    LEAST_REPORTED_LOAD("least-reported-load"),
}

/** Holds the peer addresses that the instance contacts when the platform is unavailable. */
public data class SeedSettings(public val peers: List<InstanceAddress> = emptyList())
