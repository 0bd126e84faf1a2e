// Implementation of stoathub::Sender: retries, outage detection, rate control and the choice of endpoints.
// The types, events and actions are in include/stoathub/stoathub.hpp.
//
// Each turn handles the events, ends messages that can no longer be delivered, sends what may be sent, and
// requests a timer for the next change that time alone brings. All times are in seconds since the first turn.
#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <unordered_map>
#include <utility>

#include "sender/outage_detector.hpp"
#include "sender/random.hpp"
#include "sender/rate_control.hpp"
#include "sender/state.hpp"
#include "sender_constants.hpp"
#include "settings.hpp"
#include "stoathub/stoathub.hpp"

namespace stoathub {
class Sender::Impl {
  public:
    Impl(const Settings& settings, std::uint64_t seed) : settings_(settings), random_(seed) {
        validate(settings);
    }

    std::vector<Action> turn(Time now, const std::vector<Event>& events) {
        if (!started_) {
            startTime_ = now;
            started_ = true;
        }
        now_ = toSeconds(now - startTime_);
        actions_.clear();
        nextCheckAt_ = kNever;
        for (const auto& event : events)
            std::visit([this](const auto& occurred) { handle(occurred); }, event);
        subscribeIfDue();
        endExpired();
        detectSilence();
        sendReady();
        cancelStuckAttempt();
        updateIdleConnections();
        requestTimer();
        return std::move(actions_);
    }

    std::vector<DestinationHealth> destinationHealth() const {
        std::vector<DestinationHealth> all;
        for (const auto& [id, destination] : destinations_) {
            const RouteState& route = destination.route;
            const bool warming = now_ < route.recoveredAt + toSeconds(settings_.warmUp);
            const bool suspected = outageDetector_.mayBeInOutage(route, now_);
            if (!route.down && !suspected && !warming && route.reportedRateLimit <= 0 && !route.unconfirmed)
                continue;
            all.push_back({id, route.down, {}, route.rateLimit, route.unconfirmed, false, suspected});
            if (warming) all.back().sinceRecovery = toDuration(now_ - route.recoveredAt);
        }
        return all;
    }

    std::vector<RetryBucketState> retryBuckets() const {
        std::vector<RetryBucketState> all;
        for (const auto& [id, destination] : destinations_)
            all.push_back({id, destination.bucket.tokens(), kBucketCapacityTokens,
                           destination.bucket.gained(), destination.bucket.spent()});
        return all;
    }

  private:
    // ---- events ----
    void handle(const MessageAccepted& accepted) {
        if (accepted.messageClass < 0 ||
            accepted.messageClass >= static_cast<int>(settings_.messageClasses.size()) ||
            sequenceById_.count(accepted.id))
            return;
        const MessageClass& messageClass = settings_.messageClasses[accepted.messageClass];
        Message message;
        message.id = accepted.id;
        message.classIndex = accepted.messageClass;
        message.effect = std::max(messageClass.effect, accepted.minimumEffect);
        if (messageClass.inOrder) message.orderKey = accepted.orderKey;
        message.acceptedAt = message.notBefore = now_;
        message.deadline = now_ + toSeconds(accepted.timeLeft);
        message.deliveryTargetAt =
            message.deadline - toSeconds(messageClass.timeToLive - messageClass.deliveryTarget);
        const std::uint64_t sequence = ++lastSequence_;
        if (message.orderKey) orderQueues_[*message.orderKey].sequences.push_back(sequence);
        sequenceById_[message.id] = sequence;
        message.destination = &destinationEntry(accepted.destination);
        ++message.destination->heldMessages;
        if (accepted.priorAttempts) restoreAttempts(message, *accepted.priorAttempts);
        messages_.emplace(sequence, std::move(message));
    }

    // Restores what a previous run did with the message. All its messages come back at once, and the
    // knowledge of outages may be lost, so a destination that is down or warming up could receive the whole
    // backlog. Therefore the next attempt of a message that was attempted before is a retry: backoff spreads
    // these out, and the retry bucket pays for them. A message that was never sent gets a first attempt, as
    // the bucket would otherwise end most of them untried. Failures count as if they had just happened, and
    // the rate limit applies from the first attempt. The zone of an earlier attempt is no longer known.
    void restoreAttempts(Message& message, const PriorAttempts& prior) {
        message.attempts = prior.attempts;
        message.untriedSinceRestart = prior.attempts == 0;
        message.mayHaveRun = prior.mayHaveRun;
        message.keyWindowStart = now_ - toSeconds(prior.sinceMayHaveRun);
        message.keyZone = -1;
        if (prior.attempts + prior.failures > 0) {
            message.notBefore = now_ + kBackoffBaseSeconds * backoffFraction();
            message.pendingTokens = prior.attempts > 0 ? kRetryCostTokens : 0;
        }
        RouteState& route = message.destination->route;
        if (prior.sawFailure) {
            route.failedSinceDelivery = true;
            route.deliveredAt = -kNever;
        }
        if (route.failureStreak == 0) route.streakStartedAt = now_;
        route.failureStreak += prior.failures;
        if (route.failureStreak - route.rejectionStreak >= kOutageFailures) route.down = true;
        if (route.rateCap == kNever && route.rateLimit > 0 && !rateControl_.isSparse(route))
            route.rateCap = route.rateLimit / settings_.senders;
    }

    void handle(const MessageWithdrawn& withdrawn) {
        const auto it = sequenceById_.find(withdrawn.id);
        if (it == sequenceById_.end()) return;
        messages_.at(it->second).ended = true;
        removeIfFinished(it->second);
    }

    void handle(const TimerFired&) {}

    // After a restart a destination may be down or warming up without any evidence of it, and the first burst
    // would overload it. An unconfirmed destination is therefore limited until its deliveries have raised the
    // limit. The cost is a delay of its first messages if it is in fact healthy.
    void handle(const DestinationHealth& health) {
        RouteState& route = destinationEntry(health.destination).route;
        if (route.rateLimit <= 0) route.rateLimit = health.rateLimit;
        route.down = route.down || health.down;
        route.lastObservedAt = now_;
        if (health.sinceRecovery)
            route.recoveredAt = std::max(route.recoveredAt, now_ - toSeconds(*health.sinceRecovery));
        if (health.unconfirmed && !route.unconfirmed) {
            // Random in a large fleet, so that senders that restart together do not make their first attempts
            // together. Those of a few are within what a cold destination takes.
            const bool spread = !health.probed && settings_.senders > kSmallFleetSenders;
            rateControl_.limitUntilConfirmed(route, spread ? random_.uniform() : 1, now_);
        }
        if (health.probed) route.unconfirmedTokens -= 1;
        // Once attempts have been limited, the limit stays until the destination has had time to warm up, as
        // the rate must not jump.
        route.unconfirmed = health.unconfirmed || route.outageSuspected ||
                            (route.unconfirmed && (route.attemptsOut > 0 || route.firstDeliveryAt != kNever));
    }

    void handle(const EndpointListUpdate& update) {
        if (update.kind == ListUpdateKind::failed) {
            subscribePause_ =
                std::min(std::max(kResubscribeSeconds, 2 * subscribePause_), kMaxResubscribeSeconds);
            subscribeAt_ = now_ + subscribePause_ * (0.5 + random_.uniform());
            return;
        }
        if (update.kind != ListUpdateKind::saved) subscribePause_ = 0;
        if (update.kind != ListUpdateKind::delta) {
            ++listGeneration_;
            pendingReplacements_.clear();
        }
        for (const auto& entry : update.entries) applyListEntry(entry);
        if (update.kind != ListUpdateKind::delta)
            for (auto& [id, endpoint] : endpoints_)
                endpoint.usable = endpoint.usable && endpoint.listGeneration == listGeneration_;
        forgetUnused();
    }

    // Removes unusable endpoints without an attempt in flight, and destinations without endpoints and
    // messages, as fleets change all the time. A destination is kept while it has an outage or an announced
    // wait to remember: either applies to endpoints that are listed later as well.
    void forgetUnused() {
        clearUnanswered();  // it points to routes that may be erased
        for (auto it = endpoints_.begin(); it != endpoints_.end();) {
            EndpointEntry& endpoint = it->second;
            if (endpoint.usable || endpoint.attemptsOut > 0) {
                ++it;
                continue;
            }
            std::erase(destinationEntry(endpoint.destinationId).endpoints, &endpoint);
            it = endpoints_.erase(it);
        }
        std::erase_if(destinations_, [this](const auto& entry) {
            const DestinationEntry& destination = entry.second;
            const Seconds forgetAfter =
                std::max(destination.route.lastObservedAt, destination.route.recoveredAt) +
                toSeconds(settings_.warmUp) + kForgetAfterSeconds;
            return destination.endpoints.empty() && destination.heldMessages == 0 &&
                   now_ > std::max(forgetAfter, destination.route.waitUntil);
        });
    }

    void applyListEntry(const Endpoint& entry) {
        auto& endpoint = endpoints_[entry.id];
        pendingReplacements_.erase(entry.id);
        // If the id now names an endpoint of another destination, it must not receive messages of the old
        // one. It counts as a new endpoint, which is added once the attempts at the old one have ended.
        if (!endpoint.id.empty() && endpoint.destinationId != entry.destination) {
            endpoint.usable = false;
            if (endpoint.attemptsOut > 0) return void(pendingReplacements_[entry.id] = entry);
            std::erase(destinationEntry(endpoint.destinationId).endpoints, &endpoint);
            clearUnanswered();
            endpoint = {};
        }
        if (endpoint.id.empty()) {
            endpoint.id = entry.id;
            endpoint.destinationId = entry.destination;
            endpoint.zone = entry.zone;
            endpoint.tieBreaker = random_.uniform();
            endpoint.kind = entry.kind;
            if (entry.kind >= 0 && entry.kind < static_cast<int>(settings_.kinds.size()))
                endpoint.separateRoute = settings_.kinds[entry.kind].separateRoutes;
            initialize(endpoint.route);
            destinationEntry(entry.destination).endpoints.push_back(&endpoint);
        }
        if (settings_.weights != Weights::none && entry.weight > 0)
            routeOf(endpoint).rateLimit = entry.weight;
        endpoint.usable = entry.state == EndpointState::inService;
        endpoint.listGeneration = listGeneration_;
    }

    // All outcomes are handled here.
    void handle(const Outcome& outcome) {
        const auto it = sequenceById_.find(outcome.id);
        if (it == sequenceById_.end()) return;
        const std::uint64_t sequence = it->second;
        Message& message = messages_.at(sequence);
        if (!message.hasActiveAttempt() || outcome.attempt != message.attempts - 1) return;
        EndpointEntry& endpoint = *activeAttempts_.at(message.attemptId).endpoint;
        const bool ran = outcome.result == Result::error || outcome.result == Result::timeout ||
                         outcome.result == Result::reset || outcome.result == Result::cancelled ||
                         outcome.result == Result::delivered || outcome.unproven;
        const bool reusedConnection = activeAttempts_.at(message.attemptId).reusedConnection;
        if (ran) {
            double& failed = unansweredShare_[reusedConnection];
            const bool answered =
                outcome.result == Result::delivered || outcome.result == Result::error || outcome.unproven;
            failed += kSmoothingWeight * ((answered ? 0 : 1) - failed);
        }
        finishAttempt(message);
        if (outcome.result == Result::unsent) return revertUnsent(sequence, message, endpoint);
        message.consecutiveUnsent = 0;
        if (outcome.result == Result::connectFailed) ++message.failedConnects;
        if (outcome.result != Result::notForwarded) message.paidTokens = 0;
        if (ran || outcome.result == Result::rejected) message.untriedSinceRestart = false;
        observeOutcome(endpoint, outcome, reusedConnection);
        if (ran && !message.mayHaveRun) {
            message.mayHaveRun = true;
            message.keyWindowStart = message.sentAt;
            message.keyZone = endpoint.zone;
        }
        if (message.orderKey && (outcome.result == Result::timeout || outcome.result == Result::reset ||
                                 outcome.result == Result::cancelled))
            orderQueues_[*message.orderKey].pausedUntil =
                now_ + toSeconds(settings_.orderingPause) + kRoundingMarginSeconds;
        if (outcome.concluded || message.ended) {
            message.ended = true;
            return removeIfFinished(sequence);
        }
        if (outcome.noFurtherAttempt) return giveFinalAnswer(sequence, EndReason::endedByEndpoint);
        scheduleRetry(sequence, message, outcome);
    }

    // Takes back an attempt that was not sent: it says nothing about the destination and does not count as an
    // attempt, so everything charged for it is returned. The local cause may persist, so the next attempt
    // waits a little.
    void revertUnsent(std::uint64_t sequence, Message& message, EndpointEntry& endpoint) {
        RouteState& route = routeOf(endpoint);
        route.paceTokens += 1;
        if (route.unconfirmed) route.unconfirmedTokens += 1;
        if (--message.attempts == 0) message.destination->bucket.revertFirstAttempt();
        if (message.ended) return removeIfFinished(sequence);
        const double doubled = std::pow(2.0, std::min(message.consecutiveUnsent++, kMaxUnsentDoublings));
        message.notBefore = now_ + kUnsentPauseSeconds * doubled * backoffFraction();
    }

    void finishAttempt(Message& message) {
        const auto attempt = activeAttempts_.find(message.attemptId);
        message.attemptId = 0;
        message.cancelRequested = false;
        EndpointEntry& endpoint = *attempt->second.endpoint;
        --slotsUsed_;
        --endpoint.attemptsOut;
        --routeOf(endpoint).attemptsOut;
        --destinationEntry(endpoint.destinationId).attemptsOut;
        endpoint.unresponsive = false;
        if (endpoint.attemptsOut == 0) newlyIdle_.push_back(endpoint.id);
        activeAttempts_.erase(attempt);
    }

    // Updates what is known about the endpoint, its route and its destination.
    void observeOutcome(EndpointEntry& endpoint, const Outcome& outcome, bool reusedConnection) {
        RouteState& route = routeOf(endpoint);
        if (outcome.retryAfter > Duration{})
            route.waitUntil =
                std::max(route.waitUntil, now_ + toSeconds(outcome.retryAfter) + kRoundingMarginSeconds);
        if (outcome.result == Result::notForwarded || outcome.stale) return;
        route.lastObservedAt = now_;
        if (outcome.allowedRate && *outcome.allowedRate > 0) route.rateLimit = *outcome.allowedRate;
        if (outcome.allowedRate) {
            route.reportedRateLimit = *outcome.allowedRate;
            limitsReported_ = true;
        }
        const bool succeeded = outcome.result == Result::delivered;
        route.failedSinceDelivery = !succeeded;
        if (succeeded) route.deliveredAt = now_;
        // A failed connect puts no load on the destination.
        if (route.unconfirmed && (succeeded || outcome.result == Result::connectFailed))
            route.unconfirmedTokens =
                std::min(kMaxUnconfirmedTokens,
                         route.unconfirmedTokens + (succeeded ? kUnconfirmedTokensPerDelivery : 1));
        if (route.unconfirmed && succeeded) route.firstDeliveryAt = std::min(route.firstDeliveryAt, now_);
        if (now_ > route.firstDeliveryAt + toSeconds(settings_.warmUp))
            route.unconfirmed = route.outageSuspected = false;
        // A rejection on a new connection, without the rate limit report that answers carry otherwise, means
        // that the destination has too many connections.
        Seconds& scarceUntil = connectionsScarceUntil_[endpoint.kind];
        if (outcome.result == Result::rejected && !reusedConnection && limitsReported_ &&
            !outcome.allowedRate && outcome.retryAfter <= Duration{})
            scarceUntil = std::max(scarceUntil, now_ + kConnectionsRejectedSeconds);
        if (outcome.result == Result::connectFailed && 2 * outcome.took < settings_.connectTimeout) {
            const bool outage =
                route.failureStreak > 0 && now_ > route.streakStartedAt + kSparseOutageSeconds;
            scarceUntil = outage ? 0 : now_ + kConnectionsScarceSeconds;
        }
        if (!succeeded && outcome.result != Result::rejected) ++endpoint.failureStreak;
        // A rejection with much of the rate limit unused means that the queue of this endpoint is full, or
        // that it has too many connections. That says nothing about the other endpoints, which are preferred
        // from now on.
        if (outcome.result == Result::rejected && reportsLimit(outcome) &&
            *outcome.allowanceLeft > kAmpleAllowance)
            endpoint.tieBreaker += 1;
        outageDetector_.observe(route, destinationEntry(endpoint.destinationId), endpoint, outcome, now_);
        rateControl_.observe(route, outcome, now_);
        backOffEndpoint(endpoint, outcome.result);
        if (outcome.result == Result::rejected) return;
        route.successShare += kSmoothingWeight * ((succeeded ? 1 : 0) - route.successShare);
        if (succeeded) {
            route.lastAnsweredSendAt = std::max(route.lastAnsweredSendAt, now_ - toSeconds(outcome.took));
            endpoint.lastAnsweredSendAt =
                std::max(endpoint.lastAnsweredSendAt, now_ - toSeconds(outcome.took));
            destinationEntry(endpoint.destinationId).bucket.add(kSuccessRefundTokens);
            route.recordDelivery(now_);
            const double took = toSeconds(outcome.took);
            route.latency += route.latency == 0 ? took : kSmoothingWeight * (took - route.latency);
            if (route.bestLatency == 0) route.bestLatency = route.latency;
            route.bestLatency +=
                (route.latency < route.bestLatency ? kSmoothingWeight : kBestLatencyDriftWeight) *
                (route.latency - route.bestLatency);
        }
        // Adjust the window: halve it when attempts take long, and grow it again near the best recent
        // latency.
        if (route.latency > kShrinkLatencyRatio * route.bestLatency &&
            now_ > route.windowHalvedAt + route.latency) {
            route.window = std::max(1.0, route.window / 2);
            route.windowHalvedAt = now_;
        } else if (succeeded && route.latency < kGrowLatencyRatio * route.bestLatency) {
            route.window = std::min<double>(maxWindow(), route.window + kWindowGrowthPerSuccess);
        }
    }

    // Avoids an endpoint that fails while others of the destination work: discovery may still list a dead
    // endpoint or a stale address, and every attempt there is wasted. It is avoided for a growing time and
    // then tested with a single attempt that may be repeated. If all endpoints fail, none is avoided, and
    // the outage detector decides.
    void backOffEndpoint(EndpointEntry& endpoint, Result result) {
        if (result == Result::delivered) {
            endpoint.failureStreak = 0;
            endpoint.avoidUntil = 0;
        }
        if (result == Result::delivered || result == Result::rejected) return;
        if (endpoint.failureStreak >= kEndpointBackoffFailures || result == Result::connectFailed)
            endpoint.avoidUntil =
                now_ + std::min(kMaxEndpointBackoffSeconds,
                                kEndpointBackoffSeconds * std::pow(2.0, endpoint.failureStreak - 1));
    }

    // Decides whether the message may be retried, after which backoff and at which cost.
    void scheduleRetry(std::uint64_t sequence, Message& message, const Outcome& outcome) {
        const Result result = outcome.result;
        const bool neverRan =
            !outcome.unproven &&
            (result == Result::rejected || result == Result::connectFailed || result == Result::notForwarded);
        const bool mayRetry = neverRan || message.effect != Effect::unsafe;
        if (!mayRetry) return giveFinalAnswer(sequence, EndReason::notRepeatable);
        if (hasNoAttemptLeft(message, result)) return giveFinalAnswer(sequence, EndReason::attemptsExhausted);
        if (message.countedAttempts() == 0) return scheduleReconnect(sequence, message);
        if (isPastTarget(message) && message.orderKey &&
            orderQueues_.at(*message.orderKey).sequences.size() > 1)
            return giveFinalAnswer(sequence, EndReason::holdsUpOrder);
        message.notBefore = now_ + backoffRange(message) * backoffFraction();
        message.pendingTokens = result == Result::notForwarded ? 0
                                : result == Result::rejected   ? kRejectedRetryCostTokens
                                                               : kRetryCostTokens;
        if (message.notBefore + routeOf(message).latency > message.deadline)
            giveFinalAnswer(sequence, EndReason::retryTooLate);
    }

    // An intermediary that does not forward attempts beyond the limit counts failed connects as well.
    bool hasNoAttemptLeft(const Message& message, Result result) const {
        return message.countedAttempts() >= settings_.maxAttempts ||
               (result == Result::notForwarded && message.attempts >= settings_.maxAttempts);
    }

    // A message whose connects have all failed has not been tried, so its next attempt is still its first: no
    // tokens are paid for it, and it is not ended while another connect fits before its deadline. What a
    // whole backlog of such messages may do to a destination is limited by the rate of an outage, and by a
    // backoff that grows to at most kMaxReconnectBackoffSeconds, so that none sleeps long after the
    // destination is back.
    void scheduleReconnect(std::uint64_t sequence, Message& message) {
        const Seconds range = std::min(backoffRange(message), kMaxReconnectBackoffSeconds);
        const Seconds latest =
            message.deadline - std::max(routeOf(message).latency, kMinAttemptSeconds) - kAnswerMarginSeconds;
        if (latest < now_ + kBackoffMinFraction * kBackoffBaseSeconds)
            return giveFinalAnswer(sequence, EndReason::retryTooLate);
        message.notBefore = std::min(now_ + range * backoffFraction(), latest);
        message.pendingTokens = 0;
    }

    // Messages that could not be delivered in time keep retrying, take capacity from fresh messages with a
    // higher value, and keep the load high long after its cause is gone. So in a large fleet a message past
    // its delivery target has a longer backoff, and ends instead of holding up others with its order key. The
    // cost: it may miss a destination that has just recovered.
    bool isPastTarget(const Message& message) const {
        return settings_.senders > kSmallFleetSenders && now_ > message.deliveryTargetAt;
    }
    Seconds backoffRange(const Message& message) const {
        return kBackoffBaseSeconds * std::pow(2.0, message.attempts) *
               (isPastTarget(message) ? kLateBackoffFactor : 1);
    }

    // ---- final answers ----
    // Whether the client may submit the message again without the risk of a second effect.
    bool isSafeToResubmit(const Message& message) const {
        const MessageClass& messageClass = settings_.messageClasses[message.classIndex];
        return !message.mayHaveRun || message.effect == Effect::pure ||
               (message.effect == Effect::keyed && messageClass.keyScope == KeyScope::all);
    }

    void giveFinalAnswer(std::uint64_t sequence, EndReason reason) {
        Message& message = messages_.at(sequence);
        if (isSafeToResubmit(message)) {
            Seconds retryIn = std::max(routeOf(message).waitUntil - now_, 0.0);
            if (settings_.maxRetryAfter > Duration{})
                retryIn = std::min(retryIn, toSeconds(settings_.maxRetryAfter));
            actions_.push_back(Refuse{message.id, toDuration(retryIn), reason});
        } else {
            actions_.push_back(Fail{message.id, reason});
        }
        message.ended = true;
        removeIfFinished(sequence);
    }

    // Removes a message that has its final answer and no attempt in flight. Tokens paid for an attempt that
    // was never sent, because of an announced wait, the rate or a full window, go back to the bucket:
    // otherwise they would be lost to other messages just when most retries are waiting.
    void removeIfFinished(std::uint64_t sequence) {
        const auto it = messages_.find(sequence);
        if (it->second.hasActiveAttempt()) return;
        it->second.destination->bucket.refund(it->second.paidTokens);
        if (it->second.orderKey) {
            auto& sequences = orderQueues_[*it->second.orderKey].sequences;
            sequences.erase(std::find(sequences.begin(), sequences.end(), sequence));
        }
        --it->second.destination->heldMessages;
        sequenceById_.erase(it->second.id);
        messages_.erase(it);
    }

    // ---- each turn ----
    void subscribeIfDue() {
        if (!settings_.listOnRequest || now_ < subscribeAt_) return;
        subscribeAt_ = kNever;
        actions_.push_back(SubscribeToList{});
    }

    // Latest time at which another attempt may be sent, as far as the effect of the message goes.
    Seconds lastAllowedSend(const Message& message) const {
        const MessageClass& messageClass = settings_.messageClasses[message.classIndex];
        if (!message.mayHaveRun || message.effect == Effect::pure) return kNever;
        return message.effect == Effect::unsafe ? message.acceptedAt - kMinTimerSeconds
                                                : message.keyWindowStart + toSeconds(messageClass.keyWindow);
    }

    // Time until which every route of the destination is in an announced wait.
    Seconds earliestWaitEnd(DestinationEntry& destination) {
        Seconds soonest = destination.endpoints.empty() ? destination.route.waitUntil : kNever;
        for (EndpointEntry* endpoint : destination.endpoints)
            soonest = std::min(soonest, routeOf(*endpoint).waitUntil);
        return soonest;
    }

    // Ends messages that can no longer be delivered, before their deadline.
    void endExpired() {
        std::vector<std::pair<std::uint64_t, EndReason>> ending;
        for (const auto& [sequence, message] : messages_) {
            if (message.ended || message.hasActiveAttempt()) continue;
            // Nothing is sent beyond the attempt limit or the key window, so such a message ends at once.
            const bool attemptsExhausted = message.countedAttempts() >= settings_.maxAttempts;
            const Seconds last =
                attemptsExhausted ? message.acceptedAt : std::min(lastAllowedSend(message), message.deadline);
            const Seconds due = last - kAnswerMarginSeconds - kMinTimerSeconds;
            // If the announced wait outlasts the message, holding it would only delay the answer that tells
            // the client when to submit it again.
            if (now_ > due)
                ending.emplace_back(sequence,
                                    attemptsExhausted ? EndReason::attemptsExhausted : EndReason::expired);
            else if (earliestWaitEnd(*message.destination) > due)
                ending.emplace_back(sequence, EndReason::waitTooLong);
            else checkAt(due + kRoundingMarginSeconds);
        }
        for (const auto& [sequence, reason] : ending) giveFinalAnswer(sequence, reason);
        for (auto it = orderQueues_.begin(); it != orderQueues_.end();)
            it = it->second.sequences.empty() && it->second.pausedUntil < now_ ? orderQueues_.erase(it)
                                                                               : std::next(it);
    }

    // Detects destinations and endpoints that accept attempts and never answer. They hold their slots until
    // the timeout, without any outcome that shows the outage. While attempts are overdue and no later one has
    // been answered, sends are limited to the rate of an outage; an answer lifts this at once, and a timeout
    // goes to the outage detector. This also covers machines that have vanished. The cost: a very slow
    // destination gets fewer attempts until it answers. A single unresponsive endpoint is avoided by
    // chooseEndpoint().
    void detectSilence() {
        clearUnanswered();
        for (auto& [id, attempt] : activeAttempts_) attempt.endpoint->unresponsive = false;
        for (const auto& [id, attempt] : activeAttempts_) {
            RouteState& route = routeOf(*attempt.endpoint);
            const Seconds overdueAt =
                attempt.sentAt +
                std::max(kMinSilenceSeconds,
                         kSilenceLatencyFactor * std::max(route.latency, kDefaultLatencySeconds));
            if (route.lastAnsweredSendAt >= attempt.sentAt &&
                attempt.endpoint->lastAnsweredSendAt >= attempt.sentAt)
                continue;
            if (now_ < overdueAt) {
                checkAt(overdueAt);
                continue;
            }
            if (attempt.endpoint->lastAnsweredSendAt < attempt.sentAt) attempt.endpoint->unresponsive = true;
            if (route.lastAnsweredSendAt < attempt.sentAt && route.unansweredAttempts++ == 0)
                unansweredRoutes_.push_back(&route);
        }
    }

    void clearUnanswered() {
        for (RouteState* route : unansweredRoutes_) route->unansweredAttempts = 0;
        unansweredRoutes_.clear();
    }

    // Value of the message if it is delivered at that time.
    double valueAt(const Message& message, Seconds at) const {
        const MessageClass& messageClass = settings_.messageClasses[message.classIndex];
        if (at > message.deadline) return 0;
        const Seconds lateBy = std::max(0.0, at - message.deliveryTargetAt);
        if (settings_.decay == Decay::exponential)
            return messageClass.value * std::max(messageClass.lateValueShare,
                                                 std::exp2(-lateBy / toSeconds(messageClass.deliveryTarget)));
        return messageClass.value *
               (1 - (1 - messageClass.lateValueShare) * lateBy /
                        std::max(toSeconds(messageClass.timeToLive - messageClass.deliveryTarget),
                                 kMinTimerSeconds));
    }

    // Value lost by sending the message later instead of now, per second that its attempt would occupy a
    // slot.
    double valueLossRate(const Message& message) {
        const Seconds expectedSeconds = std::max(routeOf(message).latency, kMinAttemptSeconds);
        return (valueAt(message, now_ + expectedSeconds) -
                valueAt(message, now_ + expectedSeconds + kValueHorizonSeconds)) /
               expectedSeconds;
    }

    // Sends what may be sent, highest loss of value first. Messages that waited through a restart are mostly
    // past their delivery target, and a steady load of fresh messages with a higher value would pass them by
    // until their deadline, although their clients cannot submit them again. So they go first until they have
    // been attempted. The cost: fresh messages wait for as long as that lasts.
    void sendReady() {
        struct ReadyMessage {
            std::uint64_t sequence;
            bool untriedSinceRestart;
            double valueLossRate;
            Seconds deliveryTargetAt;
        };
        std::vector<ReadyMessage> ready;
        for (const auto& [sequence, message] : messages_) {
            if (message.ended || message.hasActiveAttempt()) continue;
            if (now_ < message.notBefore) checkAt(message.notBefore);
            else
                ready.push_back({sequence, message.untriedSinceRestart, valueLossRate(message),
                                 message.deliveryTargetAt});
        }
        std::stable_sort(ready.begin(), ready.end(), [](const ReadyMessage& a, const ReadyMessage& b) {
            if (a.untriedSinceRestart != b.untriedSinceRestart) return a.untriedSinceRestart;
            return a.valueLossRate != b.valueLossRate ? a.valueLossRate > b.valueLossRate
                                                      : a.deliveryTargetAt < b.deliveryTargetAt;
        });
        waitingForSlot_ = false;
        for (const auto& [sequence, untriedSinceRestart, valueLossRate, deliveryTargetAt] : ready) {
            Message& message = messages_.at(sequence);
            if (message.pendingTokens > 0) {
                if (!message.destination->bucket.tryPay(message.pendingTokens, now_)) {
                    giveFinalAnswer(sequence, EndReason::retryNotPaid);
                    continue;
                }
                message.paidTokens += std::exchange(message.pendingTokens, 0.0);
            }
            if (EndpointEntry* endpoint = chooseEndpoint(sequence, message)) sendAttempt(message, *endpoint);
        }
    }

    // Whether an attempt at this endpoint may be sent now; every send is checked here. If only time is
    // missing, requests a check at that time.
    bool maySend(std::uint64_t sequence, const Message& message, EndpointEntry& endpoint) {
        const MessageClass& messageClass = settings_.messageClasses[message.classIndex];
        if (!endpoint.usable) return false;
        RouteState& route = routeOf(endpoint);
        outageDetector_.suspectOutage(route, now_);
        if (now_ < route.waitUntil) return checkAt(route.waitUntil);
        if (message.orderKey) {
            const auto& queue = orderQueues_.at(*message.orderKey);
            if (queue.sequences.front() != sequence) return false;
            if (message.attempts == 0 && now_ < queue.pausedUntil) return checkAt(queue.pausedUntil);
        }
        if (message.mayHaveRun) {
            if (message.effect == Effect::unsafe) return false;
            if (message.effect == Effect::keyed &&
                (now_ + kMinTimerSeconds > message.keyWindowStart + toSeconds(messageClass.keyWindow) ||
                 (messageClass.keyScope == KeyScope::zone && endpoint.zone != message.keyZone)))
                return false;
        }
        if (message.countedAttempts() >= settings_.maxAttempts || now_ >= message.deadline) return false;
        if (const Seconds at = rateControl_.unconfirmedAttemptAt(route, now_); at > now_) return checkAt(at);
        const double windowLimit =
            route.isDegraded() ? std::min(route.window, maxWindow() / 2.0) : route.window;
        const int routes =
            endpoint.separateRoute ? static_cast<int>(message.destination->endpoints.size()) : 1;
        if (const Seconds at = rateControl_.pacedAttemptAt(route, routes, now_); at > now_)
            return checkAt(at);
        if (route.attemptsOut >= std::max(1, static_cast<int>(windowLimit)) ||
            message.destination->attemptsOut >= maxWindow())
            return false;
        waitingForSlot_ = waitingForSlot_ || slotsUsed_ >= settings_.slots;
        return slotsUsed_ < settings_.slots;
    }

    EndpointEntry* chooseEndpoint(std::uint64_t sequence, const Message& message) {
        const auto& endpoints = message.destination->endpoints;
        const bool unsafe = message.effect == Effect::unsafe;
        const bool noneHealthy =
            std::none_of(endpoints.begin(), endpoints.end(), [](const EndpointEntry* candidate) {
                return candidate->usable && candidate->failureStreak == 0 && !candidate->unresponsive;
            });
        EndpointEntry* chosen = nullptr;
        std::pair<int, double> bestRank;
        for (EndpointEntry* endpoint : endpoints) {
            const bool suspect = (endpoint->failureStreak > 0 || endpoint->unresponsive) && !noneHealthy;
            if (suspect && now_ < endpoint->avoidUntil) checkAt(endpoint->avoidUntil);
            if (suspect && (now_ < endpoint->avoidUntil || unsafe || endpoint->attemptsOut > 0)) continue;
            if (!maySend(sequence, message, *endpoint)) continue;
            // All senders have the same list in the same order; if equal endpoints were taken in list order,
            // the first would get all single attempts of the whole fleet. So each sender has a random order
            // of its own. It keeps to that order, so that connections are reused.
            const auto rank = std::make_pair(endpoint->attemptsOut, endpoint->tieBreaker);
            if (!chosen || rank < bestRank) {
                chosen = endpoint;
                bestRank = rank;
            }
        }
        return chosen;
    }

    void sendAttempt(Message& message, EndpointEntry& endpoint) {
        DestinationEntry& destination = *message.destination;
        RouteState& route = routeOf(endpoint);
        message.attemptId = ++lastAttemptId_;
        activeAttempts_[message.attemptId] = {
            endpoint.attemptsOut == 0 && now_ < endpoint.idleConnectionUntil, &endpoint, now_};
        ++slotsUsed_;
        ++endpoint.attemptsOut;
        ++route.attemptsOut;
        ++destination.attemptsOut;
        route.paceTokens -= 1;
        route.unconfirmedTokens -= 1;
        route.sendRate = route.sendRate * std::exp(-(now_ - route.sendRateAt) / kSendRateSmoothingSeconds) +
                         1 / kSendRateSmoothingSeconds;
        route.sendRateAt = now_;
        if (message.attempts++ == 0) destination.bucket.recordFirstAttempt();
        message.sentAt = now_;
        const double expectedLatency = std::max(route.latency, kDefaultLatencySeconds);
        const double timeoutFactor = message.effect == Effect::unsafe ? kUnsafeTimeoutFactor : 1;
        const Seconds until = std::min(
            message.deadline,
            now_ + timeoutFactor * std::max(kMinTimeoutSeconds, kTimeoutLatencyFactor * expectedLatency));
        const Seconds last = lastAllowedSend(message);
        actions_.push_back(Send{message.id, endpoint.id, startTime_ + toDuration(until),
                                last == kNever ? Time::max() : startTime_ + toDuration(last)});
    }

    // Frees slots from unanswered attempts. Attempts without an answer at several destinations, from whatever
    // cause, can occupy all slots, so that healthy destinations get none. While a message waits only for a
    // slot, one attempt per turn is cancelled: the oldest one at an unresponsive endpoint, one that may be
    // repeated before one that may not. The cost: the cancelled attempt might still have been answered.
    void cancelStuckAttempt() {
        if (!waitingForSlot_ || !settings_.mayCancel) return;
        Message* worst = nullptr;
        for (auto& [sequence, message] : messages_) {
            if (!message.hasActiveAttempt() || message.ended || message.cancelRequested) continue;
            const ActiveAttempt& attempt = activeAttempts_.at(message.attemptId);
            const bool unsafe = message.effect == Effect::unsafe;
            const Seconds stuckAt = attempt.sentAt + kStuckAttemptSeconds * (unsafe ? kUnsafeStuckFactor : 1);
            if (now_ < stuckAt) checkAt(stuckAt);
            if (!attempt.endpoint->unresponsive || now_ < stuckAt) continue;
            if (!worst || attempt.sentAt < activeAttempts_.at(worst->attemptId).sentAt) worst = &message;
        }
        if (!worst) return;
        worst->cancelRequested = true;
        actions_.push_back(Cancel{worst->id, worst->attempts - 1});
    }

    // Decides which idle connections to keep.
    // Some endpoints accept few connections, idle ones included, and senders that each keep one lock each
    // other out. A connection that is refused at once or rejected shows such a kind of destination, and no
    // connection is kept there where traffic is sparse. Senders that hold a connection learn this from other
    // endpoints of the kind. A crashed endpoint refuses connections as well, but keeps doing so: consecutive
    // refusals mean a crash, as a fleet that then kept no connections would pay for a new one with every
    // attempt long after.
    // Network devices may drop idle connections silently, and the next attempt on such a connection gets no
    // answer. If far more attempts fail that way on reused connections than on new ones, none is kept for a
    // while. The cost: new connections, even if the difference was random.
    void updateIdleConnections() {
        if (unansweredShare_[true] > kUnansweredShareGap + unansweredShare_[false]) {
            keepNoIdleUntil_ = now_ + kConnectionsScarceSeconds / 2;
            unansweredShare_[true] = 0;
        }
        for (const auto& id : newlyIdle_) {
            const auto it = endpoints_.find(id);
            if (it == endpoints_.end() || it->second.attemptsOut > 0) continue;
            EndpointEntry& endpoint = it->second;
            if (const auto next = pendingReplacements_.find(id); next != pendingReplacements_.end()) {
                applyListEntry(Endpoint(next->second));
                checkAt(now_);
                continue;
            }
            const Seconds until = std::max(keepNoIdleUntil_, connectionsScarceUntil_[endpoint.kind]);
            const bool close = rateControl_.isSparse(routeOf(endpoint)) && now_ < until;
            endpoint.idleConnectionUntil = close ? 0 : now_ + toSeconds(settings_.keepAlive);
            if (close) actions_.push_back(CloseIdleConnections{id});
        }
        newlyIdle_.clear();
    }

    // Requests a timer for the earliest change that time alone brings.
    void requestTimer() {
        if (settings_.listOnRequest) checkAt(subscribeAt_);
        if (timerAt_ <= now_ + kMinTimerSeconds / 2)
            timerAt_ = kNever;  // rounding may fire it a little early
        const Seconds next = std::max(nextCheckAt_, now_ + kMinTimerSeconds);
        if (next >= timerAt_) return;
        timerAt_ = next;
        actions_.push_back(SetTimer{toDuration(next - now_)});
    }
    // Requests a turn at that time. Returns false, for use in conditions.
    bool checkAt(Seconds at) {
        nextCheckAt_ = std::min(nextCheckAt_, at);
        return false;
    }

    // ---- helpers ----
    int maxWindow() const { return std::max(1, static_cast<int>(kMaxWindowSlotShare * settings_.slots)); }
    /// Of the longest backoff: at random, so that retries do not come together.
    double backoffFraction() { return kBackoffMinFraction + (1 - kBackoffMinFraction) * random_.uniform(); }
    DestinationEntry& destinationEntry(DestinationId id) {
        auto [it, fresh] = destinations_.try_emplace(id);
        if (fresh) initialize(it->second.route);
        return it->second;
    }
    void initialize(RouteState& route) const {
        route.window = maxWindow();
        route.deliveredAt = now_;
    }
    RouteState& routeOf(EndpointEntry& endpoint) {
        return endpoint.separateRoute ? endpoint.route : destinationEntry(endpoint.destinationId).route;
    }
    // With separate routes, that of the first endpoint.
    const RouteState& routeOf(const Message& message) {
        const DestinationEntry& destination = *message.destination;
        return destination.endpoints.empty() || !destination.endpoints.front()->separateRoute
                   ? destination.route
                   : destination.endpoints.front()->route;
    }

    struct OrderQueue {
        std::deque<std::uint64_t> sequences;
        Seconds pausedUntil = 0;
    };

    Settings settings_;
    RandomSource random_;
    RateControl rateControl_{settings_, random_};
    OutageDetector outageDetector_{settings_, rateControl_, random_};
    bool started_ = false;
    Time startTime_{};
    Seconds now_ = 0;
    std::uint64_t lastSequence_ = 0, lastAttemptId_ = 0;
    int slotsUsed_ = 0;
    bool waitingForSlot_ = false;   // some message waits only for a slot
    Seconds nextCheckAt_ = kNever;  // when time alone brings the next change
    Seconds timerAt_ = kNever, subscribeAt_ = 0, subscribePause_ = 0;
    std::map<std::uint64_t, Message> messages_;
    std::unordered_map<MessageId, std::uint64_t> sequenceById_;
    std::map<EndpointId, EndpointEntry> endpoints_;
    std::unordered_map<DestinationId, DestinationEntry> destinations_;
    std::map<std::uint64_t, ActiveAttempt> activeAttempts_;
    std::map<OrderKey, OrderQueue> orderQueues_;
    std::vector<RouteState*> unansweredRoutes_;  // with unansweredAttempts above 0
    // Smoothed shares of attempts without an answer, by reusedConnection.
    double unansweredShare_[2] = {0, 0};
    bool limitsReported_ = false;  // some answer has reported a rate limit, or that there is none
    Seconds keepNoIdleUntil_ = 0;
    std::map<int, Seconds> connectionsScarceUntil_;  // by kind: its endpoints accept few connections
    // Entries whose id still has attempts in flight at another destination.
    std::map<EndpointId, Endpoint> pendingReplacements_;
    std::vector<EndpointId> newlyIdle_;  // endpoints whose last attempt in flight ended in this turn
    std::uint64_t listGeneration_ = 0;   // full lists received
    std::vector<Action> actions_;
};

std::string_view name(EndReason reason) {
    switch (reason) {
        case EndReason::expired: return "expired";
        case EndReason::attemptsExhausted: return "attempts_exhausted";
        case EndReason::waitTooLong: return "wait_too_long";
        case EndReason::notRepeatable: return "not_repeatable";
        case EndReason::retryTooLate: return "retry_too_late";
        case EndReason::retryNotPaid: return "retry_not_paid";
        case EndReason::holdsUpOrder: return "holds_up_order";
        case EndReason::endedByEndpoint: break;
    }
    return "ended_by_endpoint";
}

Sender::Sender(const Settings& settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(settings, seed)) {}
Sender::~Sender() = default;
Sender::Sender(Sender&&) noexcept = default;
Sender& Sender::operator=(Sender&&) noexcept = default;
std::vector<DestinationHealth> Sender::destinationHealth() const { return impl_->destinationHealth(); }
std::vector<RetryBucketState> Sender::retryBuckets() const { return impl_->retryBuckets(); }
std::vector<Action> Sender::turn(Time now, const std::vector<Event>& events) {
    return impl_->turn(now, events);
}

}  // namespace stoathub
