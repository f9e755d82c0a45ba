/*
 * The message by which an instance shares its knowledge that the configuration is the newest one.
 */
package org.arbutusnotch.core.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.arbutusnotch.core.id.RevisionNumber

/**
 * Tells that the store has confirmed to the sender that its configuration is the newest one. It concerns only receivers
 * that have the same [revision].
 *
 * @property ageMillis time in milliseconds since the configuration was known to be the newest one
 */
@Serializable
@SerialName("config-confirmed")
public data class ConfigurationConfirmation(
    @SerialName("r") public val revision: RevisionNumber,
    @SerialName("a") public val ageMillis: Long,
) : PeerMessage
