/*
 * The mixes of requests of the two deployments.
 */
package org.arbutusnotch.testing.load

import java.util.SplittableRandom

/** Draws requests of one deployment. */
public abstract class RequestMix {
    /** Names the deployment. */
    public abstract val deployment: String

    /** Draws the request with this [number]; the same random state gives the same request. */
    public abstract fun draw(random: SplittableRandom, number: Long): PlannedRequest

    /** Returns this mix without plain service calls. */
    public fun completionsOnly(): RequestMix = FilteredMix(this)

    internal fun <T> SplittableRandom.pick(weights: List<Pair<T, Int>>): T {
        var left = nextInt(weights.sumOf { it.second })
        return weights.first { (_, weight) ->
            left -= weight
            left < 0
        }.first
    }

    internal fun SplittableRandom.tokens(range: IntRange): Int = nextInt(range.first, range.last + 1)
}

private class FilteredMix(private val mix: RequestMix) : RequestMix() {
    override val deployment: String get() = mix.deployment

    override fun draw(random: SplittableRandom, number: Long): PlannedRequest =
        generateSequence { mix.draw(random, number) }.filterIsInstance<PlannedRequest.Completion>().first()
}

/** Draws briefings, bookings and check-ins of the bell tower climbs. */
public class BelfryMix : RequestMix() {
    override val deployment: String = "belfry"

    private val sites = listOf("harbour", "range", "reef")
    private val guides = sites.map { CallerProfile.demo("$it-guides", priority = 9) }
    private val desks = sites.map { CallerProfile.demo("$it-front-desk", priority = 6) }
    private val families = sites.map { CallerProfile.demo("$it-families", priority = 3) }

    override fun draw(random: SplittableRandom, number: Long): PlannedRequest {
        val site = random.nextInt(sites.size)
        return when (random.pick(KINDS)) {
            "briefing" -> briefing(random, site, number)
            "book" -> call(random.pick(listOf(desks[site] to 1, families[site] to 2)), "book", number)
            "check-in" -> call(guides[site], "check-in", number)
            else -> call(desks[site], "lookup", number, idempotent = true)
        }
    }

    private fun briefing(random: SplittableRandom, site: Int, number: Long) = PlannedRequest.Completion(
        caller = random.pick(listOf(guides[site] to 2, desks[site] to 1, families[site] to 1)),
        kind = "briefing",
        model = "safety-briefing",
        prompt = prompt(random, number),
        maxTokens = random.tokens(OUTPUT_TOKENS),
        stream = random.nextInt(WHOLE_ANSWERS) != 0,
    )

    private fun prompt(random: SplittableRandom, number: Long): PromptDescription {
        val tokens = random.tokens(PROMPT_TOKENS)
        val shares = random.nextInt(PERCENT) < SHARED_PERCENT
        return PromptDescription(
            tokens = tokens,
            seed = random.nextLong() xor number,
            prefixTokens = if (shares) tokens * 2 / SHARED_PART else 0,
            prefixSeed = random.nextInt(TOWERS).toLong(),
        )
    }

    private fun call(caller: CallerProfile, operation: String, number: Long, idempotent: Boolean = false) =
        PlannedRequest.ServiceCall(
            caller = caller,
            kind = operation,
            service = "booking",
            operation = operation,
            idempotent = idempotent,
            body = """{"climb":$number,"caller":"${caller.name}"}""",
        )

    private companion object {
        val KINDS = listOf("briefing" to 6, "book" to 2, "check-in" to 2, "lookup" to 1)
        val PROMPT_TOKENS = 2_000..8_000
        val OUTPUT_TOKENS = 40..120
        const val SHARED_PERCENT = 60
        const val SHARED_PART = 3
        const val TOWERS = 12
        const val WHOLE_ANSWERS = 10
        const val PERCENT = 100
    }
}

/** Draws inventory sheets, pickups, deliveries and crate lookups of the office moves. */
public class NdiayeMix : RequestMix() {
    override val deployment: String = "ndiaye"

    private val planners = CallerProfile.demo("planners", priority = 2)
    private val movers = CallerProfile.demo("movers-handhelds", priority = 8)
    private val drivers = CallerProfile.demo("drivers", priority = 9)

    override fun draw(random: SplittableRandom, number: Long): PlannedRequest = when (random.pick(KINDS)) {
        "sheet" -> sheet(random, number)
        "pickup-booking" -> call(movers, "pickup-booking", number)
        "delivery-confirmation" -> call(movers, "delivery-confirmation", number)
        else -> call(drivers, "crate-status", number, idempotent = true)
    }

    private fun sheet(random: SplittableRandom, number: Long): PlannedRequest.Completion {
        val tokens = random.tokens(PROMPT_TOKENS)
        val shares = random.nextInt(PERCENT) < SHARED_PERCENT
        return PlannedRequest.Completion(
            caller = planners,
            kind = "inventory-sheet",
            model = "inventory-sheet",
            prompt = PromptDescription(
                tokens = tokens,
                seed = random.nextLong() xor number,
                prefixTokens = if (shares) tokens / 2 else 0,
                prefixSeed = random.nextInt(CLIENT_SHEETS).toLong(),
            ),
            maxTokens = random.tokens(OUTPUT_TOKENS),
            stream = random.nextInt(WHOLE_ANSWERS) != 0,
        )
    }

    private fun call(caller: CallerProfile, operation: String, number: Long, idempotent: Boolean = false) =
        PlannedRequest.ServiceCall(
            caller = caller,
            kind = operation,
            service = "handheld",
            operation = operation,
            idempotent = idempotent,
            body = """{"move":$number,"caller":"${caller.name}"}""",
        )

    private companion object {
        val KINDS = listOf("sheet" to 2, "pickup-booking" to 2, "delivery-confirmation" to 2, "crate-status" to 4)
        val PROMPT_TOKENS = 4_000..16_000
        val OUTPUT_TOKENS = 15..40
        const val SHARED_PERCENT = 40
        const val CLIENT_SHEETS = 6
        const val WHOLE_ANSWERS = 10
        const val PERCENT = 100
    }
}
