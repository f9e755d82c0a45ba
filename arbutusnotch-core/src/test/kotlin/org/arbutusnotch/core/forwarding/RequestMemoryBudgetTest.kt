package org.arbutusnotch.core.forwarding

import org.arbutusnotch.core.id.PoolId
import org.arbutusnotch.core.time.Timestamp
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class RequestMemoryBudgetTest {
    private val budget = RequestMemoryBudget(1_000_000)
    private val evicted = mutableListOf<String>()

    private fun account(name: String, progressAt: Long = 10_000) =
        MemoryAccount { evicted += name }.also { it.progressAt = Timestamp(progressAt) }

    private fun reserve(account: MemoryAccount, bytes: Int) = budget.resize(account, bytes, Timestamp(10_000))

    /** Guards against large requests that leave no memory for ordinary ones. */
    @Test
    fun `small requests have room while large ones use their whole share`() {
        expectThat(reserve(account("large").also { it.mayYield = false }, 750_000)).isTrue()
        expectThat(reserve(account("second"), 100_000)).isFalse()
        expectThat(reserve(account("small"), 60_000)).isTrue()
        expectThat(evicted).isEmpty()
    }

    /** Guards against queued requests of ordinary size that keep out probes of other endpoints. */
    @Test
    fun `shortest requests have room while ordinary ones are queued`() {
        val queued = List(20) { account("queued").also { it.mayYield = false } }
        expectThat(queued.count { reserve(it, 50_000) }).isEqualTo(17)
        expectThat(reserve(account("probe"), 15_000)).isTrue()
    }

    /** Guards against rejecting a request that arrives steadily instead of a client that stopped short of the end. */
    @Test
    fun `stalled request yields to one of the same size that makes progress`() {
        expectThat(reserve(account("steady"), 300_000)).isTrue()
        expectThat(reserve(account("stalled", progressAt = 8_000), 300_000)).isTrue()
        expectThat(reserve(account("new"), 300_000)).isTrue()
        expectThat(evicted).containsExactly("stalled")
        expectThat(budget.usedBytes).isEqualTo(600_000)
    }

    /** Guards against cutting off requests that are being served, whose outcome would become unknown. */
    @Test
    fun `request that is served never yields`() {
        val served = account("served", progressAt = 0)
        expectThat(reserve(served, 700_000)).isTrue()
        served.mayYield = false
        expectThat(reserve(account("new"), 300_000)).isFalse()
        expectThat(evicted).isEmpty()
        budget.release(served)
        expectThat(reserve(account("next"), 700_000)).isTrue()
    }

    private fun serve(service: String, bytes: Int, account: MemoryAccount = account(service)): Boolean {
        if (!budget.mayServe(PoolId(service), bytes)) return false
        budget.startServing(account, PoolId(service), bytes)
        return true
    }

    /** Guards against services whose servers hang and whose requests take the memory of all others. */
    @Test
    fun `served requests of each service leave memory for others`() {
        expectThat(List(100) { serve("first", 10_000) }.count { it }).isEqualTo(75)
        expectThat(List(100) { serve("second", 10_000) }.count { it }).isEqualTo(18)
        expectThat(serve("third", 10_000)).isTrue()
        expectThat(List(2) { serve("uploads", 100_000) }).containsExactly(true, false)
    }

    /** Guards against a share that remains spent after the requests of its service have ended. */
    @Test
    fun `ended requests return the share of their service`() {
        val accounts = List(75) { account("first") }
        repeat(2) {
            expectThat(accounts.count { serve("first", 10_000, it) }).isEqualTo(75)
            expectThat(budget.mayServe(PoolId("first"), 10_000)).isFalse()
            accounts.take(40).forEach { budget.endServing(it) }
            accounts.forEach { budget.release(it) }
        }
    }

    /** Guards against memory that is counted twice or never returned. */
    @Test
    fun `released and shrunk accounts free their memory`() {
        val first = account("first")
        reserve(first, 700_000)
        reserve(first, 1_000)
        expectThat(budget.usedBytes).isEqualTo(1_000)
        expectThat(reserve(account("second"), 750_000)).isTrue()
        budget.release(first)
        budget.release(first)
        expectThat(budget.usedBytes).isEqualTo(750_000)
        expectThat(evicted).isEmpty()
    }

    /** Guards against a crowd of idle connections that keeps new ones out. */
    @Test
    fun `idle connections yield when small requests need their memory`() {
        repeat(200) { reserve(account("idle-$it", progressAt = 9_000L - it), 5_000) }
        expectThat(reserve(account("new"), 5_000)).isTrue()
        expectThat(evicted).containsExactly("idle-199")
    }
}
