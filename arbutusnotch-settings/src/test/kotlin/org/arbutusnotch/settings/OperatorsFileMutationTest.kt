/*
 * Property test with random mutations of a valid operators' file, with a fixed seed.
 */
package org.arbutusnotch.settings

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.statistics.Statistics
import org.arbutusnotch.core.configuration.DeploymentConfiguration
import org.arbutusnotch.core.configuration.PoolKind
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotEmpty
import strikt.assertions.isTrue
import java.util.function.Predicate

class OperatorsFileMutationTest {
    /** Guards against a file that makes the reader throw, gives different results, or is accepted although invalid. */
    @Property(seed = "20261204", tries = 3_000)
    fun anyMutationGivesErrorsOrAValidConfigurationDeterministically(@ForAll("mutatedFiles") bytes: ByteArray) {
        val first = DeploymentConfigurationReader.read(bytes, FILE_NAME)
        val second = DeploymentConfigurationReader.read(bytes.copyOf(), FILE_NAME)
        expectThat(second.get()).isEqualTo(first.get())
        expectThat(second.getError()).isEqualTo(first.getError())
        Statistics.label("accepted").collect(first.isOk).coverage { coverage ->
            OUTCOMES.forEach { accepted -> coverage.check(accepted).percentage(Predicate { percent -> percent > 1.0 }) }
        }
        first.get()?.let { configuration -> expectThat(isConsistent(configuration)).isTrue() }
        first.getError()?.let { errors ->
            expectThat(errors).isNotEmpty().all {
                get { line }.isGreaterThan(0)
                get { column }.isGreaterThan(0)
            }
        }
    }

    @Provide
    fun mutatedFiles(): Arbitrary<ByteArray> = mutations().list().ofMinSize(1).ofMaxSize(MAXIMUM_MUTATIONS)
        .map { list -> list.fold(VALID_OPERATORS_FILE.toByteArray()) { bytes, mutation -> mutation.applyTo(bytes) } }

    private fun mutations(): Arbitrary<Mutation> {
        val positions = Arbitraries.integers().between(0, VALID_OPERATORS_FILE.length)
        val lengths = Arbitraries.integers().between(0, MAXIMUM_REMOVED_BYTES)
        val texts = Arbitraries.of(INSERTED_TEXTS).map { text -> text.toByteArray() }
        val randomBytes = Arbitraries.bytes().array(ByteArray::class.java).ofMaxSize(MAXIMUM_RANDOM_BYTES)
        val insertions = Arbitraries.oneOf(texts, randomBytes)
        val truncations = positions.map { position -> Truncate(position) as Mutation }
        val replacements = Combinators.combine(positions, lengths, insertions)
            .`as` { position, length, inserted -> Replace(position, length, inserted) as Mutation }
        val repeatedLines = Combinators.combine(positions, positions)
            .`as` { source, target -> RepeatLine(source, target) as Mutation }
        return Arbitraries.oneOf(listOf(truncations, replacements, replacements, repeatedLines))
    }

    private sealed interface Mutation {
        fun applyTo(bytes: ByteArray): ByteArray
    }

    private class Truncate(private val position: Int) : Mutation {
        override fun applyTo(bytes: ByteArray): ByteArray = bytes.copyOf(minOf(position, bytes.size))
    }

    private class Replace(private val position: Int, private val length: Int, private val inserted: ByteArray) :
        Mutation {
        override fun applyTo(bytes: ByteArray): ByteArray {
            val start = minOf(position, bytes.size)
            val end = minOf(start + length, bytes.size)
            return bytes.copyOf(start) + inserted + bytes.copyOfRange(end, bytes.size)
        }
    }

    /** Copies the line at one position to another, like a misplaced paste. */
    private class RepeatLine(private val source: Int, private val target: Int) : Mutation {
        override fun applyTo(bytes: ByteArray): ByteArray {
            val text = String(bytes, Charsets.ISO_8859_1)
            val line = text.drop(minOf(source, text.length)).substringAfter('\n').substringBefore('\n')
            val start = text.indexOf('\n', minOf(target, text.length)) + 1
            return (text.take(start) + line + "\n" + text.drop(start)).toByteArray(Charsets.ISO_8859_1)
        }
    }

    private companion object {
        /** Both results must occur; otherwise the property would not cover one of them. */
        val OUTCOMES = listOf(true, false)
        const val MAXIMUM_MUTATIONS = 3
        const val MAXIMUM_REMOVED_BYTES = 40
        const val MAXIMUM_RANDOM_BYTES = 6

        val INSERTED_TEXTS = listOf(
            "", "\n", "0", "-1", "9223372036854775808", "nan", "true", "\"", "\"\"\"", "[", "]", "[[", "{}", "=", ".",
            "#", "[[servers]]\n", "[services]\n", "x = 1\n", "\\", "\r", "\u0000", "\u00e9", "1979-05-27",
        )

        /** Checks the rules across entries independently of the reader. */
        fun isConsistent(configuration: DeploymentConfiguration): Boolean = with(configuration) {
            val kinds = pools.associate { pool -> pool.name to pool.kind }
            val clientNames = clients.map { client -> client.name }
            val workspaceNames = workspaces.map { workspace -> workspace.name }
            listOf(
                revision.value > 0,
                models.isNotEmpty() || services.isNotEmpty(),
                clientNames.toSet().size == clients.size,
                workspaceNames.toSet().size == workspaces.size,
                callers.map { caller -> caller.name }.toSet().size == callers.size,
                callers.map { caller -> caller.keySha256 }.toSet().size == callers.size,
                kinds.size == pools.size,
                servers.map { server -> server.address }.toSet().size == servers.size,
                workspaces.all { workspace -> workspace.client in clientNames },
                callers.all { caller -> caller.workspace in workspaceNames && caller.priority in 0..9 },
                servers.map { server -> server.pool }.toSet() == kinds.keys,
                servers.all { server -> server.slots > 0 },
                models.all { model -> kinds[model.prefillPool] == PoolKind.PREFILL },
                models.all { model -> kinds[model.decodePool] == PoolKind.DECODE },
                services.all { service -> kinds[service.pool] == PoolKind.SERVICE },
                services.all { service -> service.operations.isNotEmpty() },
            ).all { condition -> condition }
        }
    }
}
