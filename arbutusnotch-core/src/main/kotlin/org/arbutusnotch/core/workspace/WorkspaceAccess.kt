/*
 * Decides whether a request may run, by the key that its caller sends.
 *
 * A key that is unknown here may be part of a newer configuration, and a key that is known here may have been removed
 * by one. Both decisions therefore depend on how recently the configuration was confirmed to be the newest one.
 */
package org.arbutusnotch.core.workspace

import org.arbutusnotch.core.forwarding.Route
import org.arbutusnotch.core.id.ContentDigest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Describes whether a request may run. */
public sealed class AccessDecision {
    /** The request may run; [workspace] is null if it needs no key. */
    public data class Granted(public val workspace: Workspace?) : AccessDecision()

    /** The request carries no valid key. */
    public data object Unauthenticated : AccessDecision()

    /**
     * The configuration was not confirmed recently enough to decide.
     *
     * @property workspace workspace of the key in the known configuration; null if the key is not part of it
     */
    public data class Unconfirmed(public val workspace: Workspace?) : AccessDecision()
}

/** Decides by the keys of [workspaces]; if two of them have the same key, the first one is used. */
public class WorkspaceAccess(workspaces: List<Workspace>) {
    private val byKey: Map<ContentDigest, Workspace> = buildMap {
        workspaces.forEach { workspace -> workspace.keys.forEach { putIfAbsent(it, workspace) } }
    }

    /**
     * Decides on a request of [route].
     *
     * @param key digest of the key of the request; null when it carries none
     * @param confirmationAge time since the configuration was known to be the newest; null if it never was
     * @param maximumAge age of the confirmation up to which known keys are accepted; null for no limit
     */
    public fun decide(
        route: Route,
        key: ContentDigest?,
        confirmationAge: Duration?,
        maximumAge: Duration?,
    ): AccessDecision {
        if (!route.requiresKey) return AccessDecision.Granted(workspace = null)
        val workspace = key?.let { byKey[it] }
        return when {
            workspace != null && isWithin(confirmationAge, maximumAge) -> AccessDecision.Granted(workspace)
            workspace == null && isWithin(confirmationAge, MAXIMUM_REJECTION_AGE) -> AccessDecision.Unauthenticated
            else -> AccessDecision.Unconfirmed(workspace)
        }
    }

    private fun isWithin(age: Duration?, maximumAge: Duration?): Boolean =
        maximumAge == null || (age != null && age <= maximumAge)

    public companion object {
        /** Age of the confirmation up to which an unknown key is rejected for good. */
        public val MAXIMUM_REJECTION_AGE: Duration = 1.seconds

        /**
         * Part of the revocation time that is reserved for delays which the age of a confirmation does not contain,
         * such as a datagram that waits in a socket buffer during a pause too short to be detected.
         */
        private val REVOCATION_MARGIN = 500.milliseconds

        /** Returns the age up to which known keys are accepted if a removed key must be rejected [after] this time. */
        public fun maximumAge(after: Duration): Duration = after - REVOCATION_MARGIN
    }
}
