/*
 * Identifiers of the entities that the router handles.
 *
 * Each identifier has its own type, so that the address of an instance cannot be passed where a backend server is
 * expected.
 */
package org.arbutusnotch.core.id

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Identifies an instance by its peer address, in the form `ip:port`. */
@Serializable
@JvmInline
public value class InstanceAddress(public val value: String) {
    override fun toString(): String = value
}

/** Identifies one start of the process at an [InstanceAddress]; a later start normally has a higher value. */
@Serializable
@JvmInline
public value class Incarnation(public val value: Long) : Comparable<Incarnation> {
    override fun compareTo(other: Incarnation): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}

/** Identifies one instance process by its [InstanceAddress] and [Incarnation]. */
@Serializable
public data class InstanceId(
    @SerialName("a") public val address: InstanceAddress,
    @SerialName("n") public val incarnation: Incarnation,
) {
    override fun toString(): String = "$address/$incarnation"
}

/** Identifies a failure domain. */
@Serializable
@JvmInline
public value class FailureDomainId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a client: a company that uses the router. */
@Serializable
@JvmInline
public value class ClientId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a workspace of a client. */
@Serializable
@JvmInline
public value class WorkspaceId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a model. */
@Serializable
@JvmInline
public value class ModelId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a pool of backend servers. */
@Serializable
@JvmInline
public value class PoolId(public val value: String) {
    override fun toString(): String = value
}

/**
 * Identifies a backend server by its address `ip:port` if it is listed in the operators' file, or by the id of its
 * process if servers register themselves.
 */
@Serializable
@JvmInline
public value class BackendServerId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies the software that a backend server runs; versions are equal or not and have no order. */
@Serializable
@JvmInline
public value class SoftwareVersion(public val value: String) {
    override fun toString(): String = value
}

/** Identifies one request of a caller. */
@Serializable
@JvmInline
public value class RequestId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies one attempt to run a request, in the form `<instance address>/<incarnation>/<number>`. */
@Serializable
@JvmInline
public value class AttemptId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies one request for a place at a backend server, in the form `<instance address>/<incarnation>/<number>`. */
@Serializable
@JvmInline
public value class TicketId(public val value: String) {
    override fun toString(): String = value
}

/** Holds the number of a configuration revision; the highest valid revision becomes active. */
@Serializable
@JvmInline
public value class RevisionNumber(public val value: Long) : Comparable<RevisionNumber> {
    override fun compareTo(other: RevisionNumber): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}

/** Identifies a part of a prompt, such as a system prompt or a document, that several requests may share. */
@Serializable
@JvmInline
public value class PromptPartId(public val value: String) {
    override fun toString(): String = value
}

/** Holds a hexadecimal digest of a request, a prompt prefix or a configuration file. */
@Serializable
@JvmInline
public value class ContentDigest(public val value: String) {
    override fun toString(): String = value
}
