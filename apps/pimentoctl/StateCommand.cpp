#include "apps/pimentoctl/StateCommand.h"

#include "apps/pimentoctl/Output.h"

#include <iostream>

namespace pimentoctl {

using namespace pimentoward;

namespace {

using Json = nlohmann::json;

constexpr std::size_t maxCellLength = 100;

/// Text of one table cell. Longer texts are cut off after maxCellLength characters.
std::string cell(const Json &value)
{
    std::string text = value.is_string() ? value.get<std::string>() : value.dump();
    if (text.size() > maxCellLength) {
        text = text.substr(0, maxCellLength) + "...";
    }
    return text;
}

/// Prints a list of objects as a table. The columns are the fields of the first object.
void printList(const Json &list)
{
    Table table(1);
    for (const auto &[name, value] : list.front().items()) {
        table.front().push_back(name);
    }
    for (const Json &item : list) {
        auto &row = table.emplace_back();
        for (const std::string &name : table.front()) {
            row.push_back(cell(item.value(name, Json())));
        }
    }
    printTable(table);
}

bool isListOfObjects(const Json &value)
{
    return value.is_array() && !value.empty() && value.front().is_object();
}

/// Prints the plain fields of an object as one table, then each list of objects as a table of its
/// own, and nested objects in the same way. `prefix` is put before each field name.
void printState(const std::string &prefix, const Json &state)
{
    Table plain {{"FIELD", "VALUE"}};
    for (const auto &[name, value] : state.items()) {
        if (!value.is_object() && !isListOfObjects(value)) {
            plain.push_back({prefix + name, cell(value)});
        }
    }
    if (plain.size() > 1) {
        printTable(plain);
    }
    for (const auto &[name, value] : state.items()) {
        if (isListOfObjects(value)) {
            std::cout << "\n" << prefix << name << ":\n";
            printList(value);
        } else if (value.is_object()) {
            std::cout << '\n';
            printState(prefix + name + ".", value);
        }
    }
}

} // namespace

ToolExit showState(const OperatorClient &client, const CommandInput &input)
{
    std::vector<Address> addresses = client.vms();
    Reason reason;
    if (const std::string given = input.value("vm"); !given.empty()) {
        const auto address = Address::parse(given, reason);
        if (!address) {
            std::cerr << "pimentoctl: --vm: " << reason.text << '\n';
            return ToolExit::Usage;
        }
        addresses = {*address};
    }
    Json all = Json::object();
    ToolExit code = ToolExit::Success;
    for (const Address &vm : addresses) {
        const auto state = client.state(vm, reason);
        if (!state) {
            std::cerr << vm.toString() << ": ";
            code = printFailure(reason);
            continue;
        }
        all[vm.toString()] = *state;
        if (!input.asJson) {
            std::cout << "== " << vm.toString() << '\n';
            printState({}, *state);
        }
    }
    if (input.asJson) {
        printJson(all);
    }
    return code;
}

} // namespace pimentoctl
