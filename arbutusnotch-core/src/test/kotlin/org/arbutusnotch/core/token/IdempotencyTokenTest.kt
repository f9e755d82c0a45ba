/*
 * Guards against several spellings of one token, and against tokens that instances parse differently.
 */
package org.arbutusnotch.core.token

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import org.arbutusnotch.core.fuzz.ANNOTATED_SEED
import org.arbutusnotch.core.fuzz.seeded
import org.arbutusnotch.core.id.Incarnation
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.time.Timestamp
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

internal class IdempotencyTokenTest {
    private val issuer = InstanceId(InstanceAddress("10.0.0.1:7000"), Incarnation(5))

    @Test
    fun `a token has the documented text form`() {
        val token = IdempotencyToken(IssuerPrefix(issuer, Timestamp(1_000), "abc"), "order.17_a")
        expectThat(token.format()).isEqualTo("n1_10.0.0.1_7000_5_1000_abc.order.17_a")
        expectThat(IdempotencyToken.parse(token.format()).get()).isEqualTo(token)
    }

    @Test
    fun `prefixes of the same issuer and time differ`() {
        val first = IssuerPrefix.create(issuer, Timestamp(0), 60.seconds, Random(1))
        val second = IssuerPrefix.create(issuer, Timestamp(0), 60.seconds, Random(2))
        expectThat(first.expiry).isEqualTo(Timestamp(60_000))
        expectThat(first.format()).isNotEqualTo(second.format())
    }

    @Test
    fun `every malformed token is rejected with a typed error`() {
        val errors = mapOf(
            "" to TokenError.UnknownVersion,
            "n2_10.0.0.1_7000_5_1000_abc.key" to TokenError.UnknownVersion,
            "n1_10.0.0.1_7000_5_1000" to TokenError.WrongFieldCount(5),
            "n1_10.0.0.1_7000_5_1000_abc" to TokenError.MissingCallerKey,
            "n1_10.0.0.1_7000_5_1000_abc." to TokenError.InvalidCallerKey,
            "n1_10.0.0.1_7000_5_1000_abc.a b" to TokenError.InvalidCallerKey,
            "n1_10.0.0.1_7000_5_1000_abc.é" to TokenError.InvalidCallerKey,
            "n1_10.0.0.1_7000_5_1000_abc.${"k".repeat(201)}" to TokenError.InvalidCallerKey,
            "n1__7000_5_1000_abc.key" to TokenError.InvalidField("ip"),
            "n1_host_7000_5_1000_abc.key" to TokenError.InvalidField("ip"),
            "n1_10.0.0.1_0_5_1000_abc.key" to TokenError.InvalidField("port"),
            "n1_10.0.0.1_65536_5_1000_abc.key" to TokenError.InvalidField("port"),
            "n1_10.0.0.1_07000_5_1000_abc.key" to TokenError.InvalidField("port"),
            "n1_10.0.0.1_7000_+5_1000_abc.key" to TokenError.InvalidField("incarnation"),
            "n1_10.0.0.1_7000_5_-1000_abc.key" to TokenError.InvalidField("expiry"),
            "n1_10.0.0.1_7000_5_9223372036854775808_abc.key" to TokenError.InvalidField("expiry"),
            "n1_10.0.0.1_7000_5_1000_.key" to TokenError.InvalidField("random"),
            "n1_10.0.0.1_7000_5_1000_ABC.key" to TokenError.InvalidField("random"),
        )
        expectThat(errors.mapValues { IdempotencyToken.parse(it.key).getError() }).isEqualTo(errors)
    }

    @Property(seed = ANNOTATED_SEED)
    fun `formatting a parsed token returns its original text`(@ForAll("texts") text: String) {
        val token = IdempotencyToken.parse(text).get() ?: return
        expectThat(token.format()).isEqualTo(text)
    }

    @Provide
    fun texts(): Arbitrary<String> {
        val ip = Arbitraries.of("10.0.0.1", "[::1]", "10.0.0.01", "")
        val number = Arbitraries.of("7", "7000", "07", "+7", "-7", "7_7", "7.7", "")
        val suffix = Arbitraries.of("r.k", "r.k_1.2", "r..", "r_.k", ".k", "r")
        return Combinators.combine(ip, number, number, number, suffix)
            .`as` { address, port, incarnation, expiry, end -> "n1_${address}_${port}_${incarnation}_${expiry}_$end" }
            .seeded()
    }
}
