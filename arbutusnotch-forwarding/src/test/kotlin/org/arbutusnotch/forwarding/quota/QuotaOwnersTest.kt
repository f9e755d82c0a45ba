/*
 * Guards against an owner that counts with the share of a substitute.
 */
package org.arbutusnotch.forwarding.quota

import org.arbutusnotch.core.id.Incarnation
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.id.WorkspaceId
import org.arbutusnotch.core.membership.InstanceCounts
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.core.workspace.QuotaShare
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class QuotaOwnersTest {
    /** Guards against a process that adopted a higher incarnation and no longer finds itself among the candidates. */
    @Test
    fun `instance with a raised incarnation remains an owner`() {
        val address = InstanceAddress("10.0.0.1:1")
        val candidates = listOf(InstanceId(address, Incarnation(9)))
        val owners = QuotaOwners(
            self = InstanceId(address, Incarnation(5)),
            candidates = { candidates },
            recentlyLost = { emptyList() },
            counts = { InstanceCounts(known = 1, reachable = 1) },
            now = { Timestamp(1_000) },
        )
        expectThat(owners.shareOf(WorkspaceId("w"), holders = 1)).isEqualTo(QuotaShare.WHOLE)
    }
}
