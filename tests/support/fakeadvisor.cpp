#include "support/fakeadvisor.h"

#include <algorithm>

namespace WisteriaHill::TestSupport {

using namespace Scheduling;

FakeAdvisor::Decision FakeAdvisor::decide(const AdviceCall& call, SteadyTime now)
{
    ++this->calls[call.step.jobId];
    this->serversNamed += call.servers.size();
    this->mostServersNamed = std::max(this->mostServersNamed, call.servers.size());
    const SteadyTime begin = std::max(now, this->busyUntil);
    this->busyUntil = begin + this->figures.decisionTime
        + this->figures.timePerServer * static_cast<std::int64_t>(call.servers.size());
    Decision decision { .at = this->busyUntil, .answer = { .validity = this->statedValidity } };
    const Duration validity = this->statedValidity.count() > 0 ? this->statedValidity : this->figures.ticketValidity;
    for (const std::string& server : call.servers) {
        if (this->denied.contains(server))
            continue;
        decision.answer.allowed.emplace_back(server, std::to_string(this->issued.size()));
        this->issued.push_back({ .step = call.step,
            .server = server,
            .life = this->lifeOf(server),
            .begin = decision.at,
            .end = (this->validityStart == ValidityStart::Call ? begin : decision.at) + validity });
    }
    return decision;
}

bool FakeAdvisor::accepts(const StartOrder& order, const std::string& server, SteadyTime now) const
{
    if (this->rejectsTickets || order.ticket.empty())
        return false;
    const IssuedTicket& ticket = this->issued.at(std::stoul(order.ticket));
    const TaskName step { order.task.jobId, order.task.occurrence, order.task.step, 0 };
    return ticket.step == step && ticket.server == server && ticket.life == this->lifeOf(server) && now >= ticket.begin
        && now <= ticket.end;
}

} // namespace WisteriaHill::TestSupport
