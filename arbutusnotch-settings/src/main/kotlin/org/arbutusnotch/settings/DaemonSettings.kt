/*
 * The settings of one daemon. They describe the instance; what the deployment routes is in the operators' file.
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
 * @property peerAddress address for other instances, which identifies the instance
 * @property operatorAddress address for operators
 * @property peerListenAddress address that is bound for other instances when it differs from [peerAddress]
 * @property incarnation number of this start; null means the start time in epoch milliseconds
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
 * @property headerBytes largest size of the headers of a request
 * @property bodyBytes largest size of the body of a request
 * @property promptTokens longest prompt
 * @property bodyTimeout longest time in which a request must be received completely
 * @property permitRecords idempotency tokens that the instance records as issuer at a time
 * @property answerBytes largest answer that the instance records as issuer for one idempotency token
 * @property workerThreads threads that handle connections
 * @property tokenLifetime time until the expiry of the issuer prefixes that the instance returns to callers
 * @property drainTimeout longest time that a drain takes before it interrupts what still runs
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

/** Holds how the instance selects backend servers. */
public data class RoutingSettings(public val policy: RoutingPolicyName = RoutingPolicyName.CHOSEN)

/** Names a routing policy. */
public enum class RoutingPolicyName(public val code: String) {
    CHOSEN("chosen"),
    ROUND_ROBIN("round-robin"),
    LEAST_REPORTED_LOAD("least-reported-load"),
}

/** Holds peer addresses that the instance contacts when the platform is unavailable. */
public data class SeedSettings(public val peers: List<InstanceAddress> = emptyList())
