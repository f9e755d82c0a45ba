/*
 * The list of instances that a caller should use, and the issuer prefix for its idempotency tokens.
 */
package org.arbutusnotch.daemon.entry

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.arbutusnotch.core.membership.EntryPointList
import org.arbutusnotch.core.membership.IssuerSelection
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.core.token.IssuerPrefix
import org.arbutusnotch.daemon.control.ControlState

/** Holds the reply to `GET /v1/entry-points`. */
@Serializable
internal data class EntryPointsReply(
    @SerialName("entry_points") val entryPoints: List<String>,
    @SerialName("valid_until_epoch_millis") val validUntil: Timestamp,
    @SerialName("issuer_prefix") val issuerPrefix: String?,
)

/** Builds the list of entry points for [caller]. */
internal fun ControlState.entryPoints(caller: String, now: Timestamp): EntryPointsReply {
    val list = EntryPointList.create(caller, settings.instance.failureDomain, instances.live(), now)
    return EntryPointsReply(list.addresses, list.validUntil, issuerPrefix(now)?.format())
}

/** Creates a prefix that names an issuer in another failure domain; returns null while no instance is serving. */
internal fun ControlState.issuerPrefix(now: Timestamp): IssuerPrefix? =
    IssuerSelection.select(settings.instance.failureDomain, instances.live(), random)
        ?.let { IssuerPrefix.create(it.instance, now, settings.limits.tokenLifetime, random) }
