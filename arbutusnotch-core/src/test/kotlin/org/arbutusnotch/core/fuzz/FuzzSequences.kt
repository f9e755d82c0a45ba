/*
 * Shared code of the stateful property tests: actions that derive their details from one generated number, and the
 * seed.
 *
 * The system property `jqwik.tries.default` sets the number of sequences per property and `arbutusnotch.fuzz.seed` sets
 * the seed; the build sets both.
 */
package org.arbutusnotch.core.fuzz

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.RandomDistribution
import net.jqwik.api.state.Action
import net.jqwik.api.state.Transformer
import java.util.Random

/** Derives a series of small choices from one generated number. */
internal class Choice(private var remaining: Int) {
    fun <T> of(options: List<T>): T {
        val selected = options[remaining % options.size]
        remaining /= options.size
        return selected
    }

    fun chance(oneIn: Int): Boolean = of(List(oneIn) { it == 0 })
}

/** Changes the state of a model, with details that a [Choice] selects. */
internal class FuzzStep<T : Any>(private val name: String, private val change: T.(Choice) -> Unit) :
    Action.Independent<T> {
    override fun transformer(): Arbitrary<Transformer<T>> = Arbitraries.integers()
        .between(0, Int.MAX_VALUE)
        .withDistribution(RandomDistribution.uniform())
        .map { number -> Transformer.mutate("$name $number") { it.change(Choice(number)) } }
}

/** Combines the seed of the system property with the annotated seed of the test. */
internal fun <T : Any> Arbitrary<T>.seeded(): Arbitrary<T> {
    val generator = generator(GENERATOR_SIZE)
    return Arbitraries.fromGenerator { random -> generator.next(Random(random.nextLong() xor FUZZ_SEED)) }
}

/** Seed for the annotation of every property, so that each run of the same build generates the same sequences. */
internal const val ANNOTATED_SEED = "1"

private const val GENERATOR_SIZE = 1_000
private val FUZZ_SEED = System.getProperty("arbutusnotch.fuzz.seed", "0").toLong()
