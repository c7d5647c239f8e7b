#include "waxwingloft/process/metrics.h"

#include <prometheus/text_serializer.h>

namespace waxwingloft {

Metrics::Metrics()
    : registry(std::make_shared<prometheus::Registry>())
{
    for (std::size_t index = 0; index < this->counters.size(); ++index) {
        this->counters[index] = &prometheus::BuildCounter().Name(std::string(NameTable<Count>::names[index])).Register(*this->registry).Add({});
    }
    for (std::size_t index = 0; index < this->gauges.size(); ++index) {
        this->gauges[index] = &prometheus::BuildGauge().Name(std::string(NameTable<Level>::names[index])).Register(*this->registry).Add({});
    }
    this->outcomes = this->addCounters("waxwingloft_outcomes_total", "Requests by their true outcome", "outcome", NameTable<Outcome>::names);
}

void Metrics::add(Count count, double amount)
{
    this->counters[static_cast<std::size_t>(count)]->Increment(amount);
}

void Metrics::set(Level level, double value)
{
    this->gauges[static_cast<std::size_t>(level)]->Set(value);
}

void Metrics::addOutcome(Outcome outcome)
{
    this->outcomes[static_cast<std::size_t>(outcome)]->Increment();
}

std::vector<prometheus::Counter *>
Metrics::addCounters(const std::string &name, const std::string &help, const std::string &label, std::span<const std::string_view> values)
{
    auto &family = prometheus::BuildCounter().Name(name).Help(help).Register(*this->registry);
    std::vector<prometheus::Counter *> counters;
    for (const auto value : values) {
        counters.push_back(&family.Add({{label, std::string(value)}}));
    }
    return counters;
}

std::string Metrics::text() const
{
    return prometheus::TextSerializer().Serialize(this->registry->Collect());
}

} // namespace waxwingloft
