#include "Pimentoward/Process/Metrics.h"

#include "Pimentoward/Core/PlainText.h"

#include <sstream>

namespace pimentoward {

namespace {

/// Escapes a label value as the Prometheus text format requires. It must be UTF-8: a reader may
/// refuse all metrics for one value that is not.
std::string escaped(const std::string &value)
{
    std::string result;
    for (const char character : cleanText(value)) {
        if (character == '"' || character == '\\') {
            result += '\\';
        }
        result += character;
    }
    return result;
}

/// Returns the labels without braces: a="x",b="y".
std::string labelText(const Metrics::Labels &labels)
{
    std::string text;
    for (const auto &[name, value] : labels) {
        text += (text.empty() ? "" : ",") + name + "=\"" + escaped(value) + '"';
    }
    return text;
}

std::string inBraces(const std::string &labels)
{
    return labels.empty() ? labels : '{' + labels + '}';
}

void writeHeader(std::ostream &out, const std::string &name, const std::string &help,
                 const char *type)
{
    out << "# HELP " << name << ' ' << help << "\n# TYPE " << name << ' ' << type << '\n';
}

void writeDistribution(std::ostream &out, const std::string &name, const std::string &labels,
                       const MetricsDistribution &distribution)
{
    const auto quantile = [&](const char *probability, const std::optional<double> &value) {
        if (value) {
            const std::string allLabels
                = labels + (labels.empty() ? "" : ",") + "quantile=\"" + probability + '"';
            out << name << inBraces(allLabels) << ' ' << *value << '\n';
        }
    };
    quantile("0.5", distribution.median());
    quantile("0.99", distribution.percentile99());
    out << name << "_sum" << inBraces(labels) << ' ' << distribution.sum() << '\n';
    out << name << "_count" << inBraces(labels) << ' ' << distribution.count() << '\n';
}

} // namespace

MetricsCounter &Metrics::counter(const std::string &name, const std::string &help,
                                 const Labels &labels)
{
    auto &family = m_counters[name];
    family.help = help;
    return family.values[labelText(labels)];
}

MetricsDistribution &Metrics::distribution(const std::string &name, const std::string &help,
                                           const Labels &labels)
{
    auto &family = m_distributions[name];
    family.help = help;
    return family.values[labelText(labels)];
}

void Metrics::gauge(const std::string &name, const std::string &help, std::function<double()> value,
                    const Labels &labels)
{
    auto &family = m_gauges[name];
    family.help = help;
    family.values[labelText(labels)] = std::move(value);
}

void Metrics::rotate()
{
    for (auto &[name, family] : m_distributions) {
        for (auto &[labels, distribution] : family.values) {
            distribution.rotate();
        }
    }
}

std::string Metrics::render() const
{
    constexpr int digits = 12;
    std::ostringstream out;
    out.precision(digits);
    for (const auto &[name, family] : m_counters) {
        writeHeader(out, name, family.help, "counter");
        for (const auto &[labels, counter] : family.values) {
            out << name << inBraces(labels) << ' ' << counter.value() << '\n';
        }
    }
    for (const auto &[name, family] : m_gauges) {
        writeHeader(out, name, family.help, "gauge");
        for (const auto &[labels, value] : family.values) {
            out << name << inBraces(labels) << ' ' << value() << '\n';
        }
    }
    for (const auto &[name, family] : m_distributions) {
        writeHeader(out, name, family.help, "summary");
        for (const auto &[labels, distribution] : family.values) {
            writeDistribution(out, name, labels, distribution);
        }
    }
    return out.str();
}

} // namespace pimentoward
