#include "waxwingloft/version/fieldreader.h"

#include <algorithm>

namespace waxwingloft {

namespace {

const nlohmann::json EmptyObject = nlohmann::json::object();

} // namespace

std::string Mistake::text() const
{
    return std::string(nameOf(this->severity)) + ": " + this->path + ": " + this->message;
}

FieldReader::FieldReader(const nlohmann::json &object, std::string path, std::vector<Mistake> &mistakes)
    : object(object.is_object() ? object : EmptyObject)
    , path(std::move(path))
    , mistakes(mistakes)
{
    if (!object.is_object()) {
        mistakes.push_back({DiagnosticSeverity::Fatal, this->path, "expected a JSON object"});
    }
}

std::string FieldReader::text(const std::string &key, const std::string &fallback)
{
    const auto *const value = this->find(key);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_string()) {
        this->fail(key, "expected a string");
        return fallback;
    }
    return value->get<std::string>();
}

bool FieldReader::flag(const std::string &key, bool fallback)
{
    const auto *const value = this->find(key);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_boolean()) {
        this->fail(key, "expected true or false");
        return fallback;
    }
    return value->get<bool>();
}

std::int64_t FieldReader::integer(const std::string &key, std::int64_t fallback, std::int64_t lowest, std::int64_t highest)
{
    const auto *const value = this->find(key);
    if (value == nullptr) {
        return fallback;
    }
    const bool isInteger = value->is_number_integer() && !(value->is_number_unsigned() && value->get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX));
    const auto number = isInteger ? value->get<std::int64_t>() : lowest;
    if (!isInteger || number < lowest || number > highest) {
        this->fail(key, "expected a whole number from " + std::to_string(lowest) + " to " + std::to_string(highest));
        return fallback;
    }
    return number;
}

double FieldReader::number(const std::string &key, double fallback, double lowest, double highest)
{
    const auto *const value = this->find(key);
    if (value == nullptr) {
        return fallback;
    }
    const auto number = value->is_number() ? value->get<double>() : lowest - 1.0;
    if (!(number >= lowest && number <= highest)) {
        this->fail(key, "expected a number from " + std::to_string(lowest) + " to " + std::to_string(highest));
        return fallback;
    }
    return number;
}

std::vector<std::string> FieldReader::stringList(const std::string &key)
{
    std::vector<std::string> words;
    const auto *const value = this->find(key);
    if (value == nullptr) {
        return words;
    }
    const auto isString = [](const nlohmann::json &item) { return item.is_string(); };
    if (!value->is_array() || !std::all_of(value->begin(), value->end(), isString)) {
        this->fail(key, "expected an array of strings");
        return words;
    }
    return value->get<std::vector<std::string>>();
}

const nlohmann::json *FieldReader::child(const std::string &key)
{
    return this->find(key);
}

void FieldReader::fail(const std::string &key, std::string message)
{
    this->mistakes.push_back({DiagnosticSeverity::Fatal, this->path + "/" + key, std::move(message)});
}

void FieldReader::finish()
{
    for (const auto &[key, value] : this->object.items()) {
        if (std::find(this->readKeys.begin(), this->readKeys.end(), key) != this->readKeys.end()) {
            continue;
        }
        const auto nearest = nearestName(key, this->readKeys);
        const auto hint = nearest.empty() ? std::string() : "; did you mean \"" + nearest + "\"?";
        this->mistakes.push_back({DiagnosticSeverity::Warning, this->path + "/" + key, "unknown key; it is stored but has no effect" + hint});
    }
}

const nlohmann::json *FieldReader::find(const std::string &key)
{
    this->readKeys.push_back(key);
    const auto found = this->object.find(key);
    return found == this->object.end() ? nullptr : &*found;
}

} // namespace waxwingloft
