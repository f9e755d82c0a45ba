/*
 * Identifiers of the entities that the router knows.
 *
 * Each identifier is a value class, so that an address of an instance cannot be passed where a backend server is meant.
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

/** Identifies one start of the process at an [InstanceAddress]; later starts have higher values. */
@Serializable
@JvmInline
public value class Incarnation(public val value: Long) : Comparable<Incarnation> {
    override fun compareTo(other: Incarnation): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}

/** Identifies one process: an [InstanceAddress] and its [Incarnation]. */
@Serializable
public data class InstanceId(
    @SerialName("a") public val address: InstanceAddress,
    @SerialName("n") public val incarnation: Incarnation,
) {
    override fun toString(): String = "$address/$incarnation"
}

/** Names a failure domain. */
@Serializable
@JvmInline
public value class FailureDomainId(public val value: String) {
    override fun toString(): String = value
}

/** Names a client, the company that is served. */
@Serializable
@JvmInline
public value class ClientId(public val value: String) {
    override fun toString(): String = value
}

/** Names a workspace of a client. */
@Serializable
@JvmInline
public value class WorkspaceId(public val value: String) {
    override fun toString(): String = value
}

/** Names a model. */
@Serializable
@JvmInline
public value class ModelId(public val value: String) {
    override fun toString(): String = value
}

/** Names a pool of backend servers. */
@Serializable
@JvmInline
public value class PoolId(public val value: String) {
    override fun toString(): String = value
}

/**
 * Identifies a backend server: by its address `ip:port` in the operators' file, by the id of its process where servers
 * register themselves.
 */
@Serializable
@JvmInline
public value class BackendServerId(public val value: String) {
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

/** Numbers a configuration; the higher valid revision wins. */
@Serializable
@JvmInline
public value class RevisionNumber(public val value: Long) : Comparable<RevisionNumber> {
    override fun compareTo(other: RevisionNumber): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}

/** Holds a hexadecimal digest of a request, a prompt prefix or a configuration file. */
@Serializable
@JvmInline
public value class ContentDigest(public val value: String) {
    override fun toString(): String = value
}
